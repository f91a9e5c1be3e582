#pragma once

#include "entry/EntryContext.h"

namespace parsleypaddle {

/// Validates the requests that callers send to this daemon and starts the execution of each valid one.
class Entry {
public:
    using Done = std::function<void(StatementAnswer)>;

    explicit Entry(EntryContext context);

    void setConfiguration(std::shared_ptr<const Configuration>);

    /// Calls `Done` exactly once, at the latest at the request's deadline. A request without a deadline gets the default from its
    /// policy, counted from now.
    void handleRequest(StatementRequest, Done);

    /// Merges the given view into the stored view of its group; see GroupViews::merge().
    void mergeView(const GroupView& view) { m_context.views.merge(view); }
    const GroupView& view(const DatabaseId& database) { return m_context.views.find(database); }

    size_t requestsInFlight() const { return m_inFlight; }

private:
    absl::Status validate(const StatementRequest&, const GroupConfiguration* group) const;
    absl::Status validateAge(const RequestId&) const;
    void startExecution(StatementRequest, SessionState, std::shared_ptr<const GroupConfiguration>, Done);

    EntryContext m_context;
    size_t m_inFlight { 0 };
};

}
