#pragma once

#include "groups/GroupView.h"

#include <map>

namespace parsleypaddle {

/// The latest known view of each group, merged from the replies of homes and from this daemon's control connections.
class GroupViews {
public:
    /// Updates the stored view with the parts of `view` that are newer.
    void merge(const GroupView& view);

    /// The view of a group; an empty view when nothing is known about it.
    const GroupView& find(const DatabaseId&);

private:
    std::map<DatabaseId, GroupView> m_views;
};

}
