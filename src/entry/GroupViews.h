#pragma once

#include "groups/GroupView.h"

#include <map>

namespace parsleypaddle {

/// The latest known view of each group, merged from the replies of homes and from this daemon's control connections.
class GroupViews {
public:
    /// Replaces the stored term and primary unless the term in `view` is older, or is the same without a primary. Replaces
    /// the stored state of each target for which `view` has a more recent one.
    void merge(const GroupView& view);

    /// The view of a group; an empty view when nothing is known about it.
    const GroupView& find(const DatabaseId&);

private:
    std::map<DatabaseId, GroupView> m_views;
};

}
