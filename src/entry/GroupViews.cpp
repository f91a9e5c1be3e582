#include "entry/GroupViews.h"

#include <algorithm>

namespace parsleypaddle {

namespace {

    void mergeTarget(GroupView& known, const TargetView& received)
    {
        auto it = std::find_if(known.targets.begin(), known.targets.end(), [&received](const TargetView& view) { return view.target == received.target; });
        if (it == known.targets.end())
            known.targets.push_back(received);
        else if (received.lastAnswerAt > it->lastAnswerAt)
            *it = received;
    }

}

void GroupViews::merge(const GroupView& view)
{
    if (view.database.isEmpty())
        return;
    GroupView& known = m_views[view.database];
    known.database = view.database;
    const bool isNewerTerm = view.term > known.term;
    if (isNewerTerm || (view.term == known.term && !view.primary.isEmpty())) {
        known.term = view.term;
        known.primary = view.primary;
    }
    for (const auto& it : view.targets)
        mergeTarget(known, it);
}

const GroupView& GroupViews::find(const DatabaseId& database)
{
    GroupView& view = m_views[database];
    view.database = database;
    return view;
}

}
