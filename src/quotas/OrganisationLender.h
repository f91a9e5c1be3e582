#pragma once

#include "directory/OrganisationDirectory.h"
#include "quotas/QuotaMessages.h"
#include "quotas/ShareLender.h"

namespace parsleypaddle {

/// Lends a failure domain's part of one organisation's limit, and estimates the domain's demand. Does no I/O and reads no clock;
/// `acting` is how long the coordinator has been acting.
class OrganisationLender {
public:
    /// For how long a new coordinator has small buckets: its predecessor may have given away the units of full ones within a window.
    static constexpr Milliseconds smallBucketPeriod { 5000 };

    explicit OrganisationLender(const OperationLimit& limit)
        : m_limit(limit)
    {
    }

    const OperationLimit& limit() const { return m_limit; }
    void setLimit(const OperationLimit& limit) { m_limit = limit; }
    /// Sets the part of the limit that the domain may use, between 0 and 1.
    void setShare(double share, Milliseconds acting, Instant now);

    /// Begins with a small bucket, because an unknown earlier coordinator may have given away the units of a full one.
    void beginSmall();
    /// Begins with what an earlier coordinator knew. Its shares may be in use until `until`.
    void takeOver(const QuotaBeat::Entry&, Instant until);

    /// Whether daemons get no shares yet, because their demand is not known well and the bucket is small.
    bool isNew(Milliseconds acting) const { return m_hasCredit && acting < firstSharesAfter; }
    /// Answers one daemon's request and notes a shortage.
    ShareLender::Answer answer(const std::string& daemon, const ShareLender::Request&, Instant now);
    void release(const std::string& daemon, Instant now) { m_lender.release(daemon, now); }
    void expire(Instant now) { m_lender.expire(now); }

    /// Follows the daemons' demand; called every 100 ms.
    void updateDemand(Milliseconds acting);
    /// Operations a second that the domain asks for, without short fluctuations, which would move parts of the limit between domains for
    /// nothing.
    double demand() const { return m_demand; }
    /// What is lent, as a part of the limit.
    double used() const { return m_limit.perSecond > 0 ? m_lender.reserved().amount / m_limit.perSecond : 0; }

    /// Units for which other domains should be asked now; 0 if none are missing, or if they were asked a short time ago.
    double takeMissing(Instant now);
    /// Adds units that another domain has given.
    void addGiven(double units);
    /// Takes units out of the bucket for another domain, and returns how many.
    double takeSpare(double wanted, Instant now);

    const ShareLender& lender() const { return m_lender; }

private:
    static constexpr Milliseconds firstSharesAfter { 1000 };

    double firstUnits() const;
    void addFirstUnits(double share, Milliseconds acting);

    ShareLender m_lender { ShareLender::Rules {} };
    OperationLimit m_limit;
    double m_demand { 0 };
    bool m_wasShort { false };
    /// The greatest part of the first units that was added, and whether there are any.
    double m_creditedPart { 0 };
    bool m_hasCredit { false };
    /// Units of the earlier coordinator's bucket that did not fit yet.
    double m_earlierUnits { 0 };
    /// Demand that the earlier coordinator knew, until the daemons have reported.
    double m_earlierDemand { 0 };
    /// Units that waiting operations lack, and when other domains may be asked for them again.
    double m_missing { 0 };
    Instant m_nextAskAt;
    Milliseconds m_askDelay {};
};

}
