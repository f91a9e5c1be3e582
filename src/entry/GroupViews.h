#pragma once

#include "groups/GroupView.h"

#include <map>

namespace parsleypaddle {

/// What this daemon last heard about each group, from homes' answers and from its own control connections.
class GroupViews {
public:
    /// Takes over what is newer in `view`.
    void merge(const GroupView& view);

    /// The view of a group; an empty one when nothing was heard.
    const GroupView& find(const DatabaseId&);

private:
    std::map<DatabaseId, GroupView> m_views;
};

}
