#pragma once

#include "entry/EntryContext.h"

namespace parsleypaddle {

/// Where callers' requests come in: checks each one and starts its run.
class Entry {
public:
    using Done = std::function<void(StatementAnswer)>;

    explicit Entry(EntryContext context);

    void setConfiguration(std::shared_ptr<const Configuration>);

    /// Answers exactly once, at the latest at the request's deadline.
    void handle(StatementRequest, Done);

    /// Takes over a newer view of a group.
    void mergeView(const GroupView& view) { m_context.views.merge(view); }
    const GroupView& view(const DatabaseId& database) { return m_context.views.find(database); }

    size_t requestsInFlight() const { return m_inFlight; }

private:
    absl::Status check(const StatementRequest&, const GroupConfiguration* group) const;
    absl::Status checkAge(const RequestId&) const;
    void run(StatementRequest, SessionState, std::shared_ptr<const GroupConfiguration>, Done);

    EntryContext m_context;
    size_t m_inFlight { 0 };
};

}
