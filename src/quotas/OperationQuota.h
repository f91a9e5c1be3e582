#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <functional>

namespace parsleypaddle {

/// Whether an operation may run now.
struct QuotaDecision {
    bool isAdmitted { true };
    /// When it was not admitted: the delay after which its caller should try again.
    Milliseconds retryAfter;
};

/// Holds the limits of organisations over all daemons. Asked once for each operation, at the daemon of its caller's session.
class OperationQuota {
public:
    using Decided = std::function<void(const QuotaDecision&)>;

    virtual ~OperationQuota() = default;

    /// Decides about one operation of the organisation and consumes its allowance if it is admitted. Calls back at once, or after at
    /// most 100 ms if an allowance has to be obtained first.
    virtual void admit(const OrganisationId&, Decided) = 0;
};

}
