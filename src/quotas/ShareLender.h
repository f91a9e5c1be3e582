#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace parsleypaddle {

/// A part of a capacity: an amount, and how much of it may be saved up. For limits of rates, the amount is in units a second and the
/// depth in units; for countable things, the amount is their number and the depth is not used.
struct LentShare {
    double amount { 0 };
    double depth { 0 };
};

/// Lends parts of a capacity to borrowers by their demand. Does no I/O and reads no clock.
///
/// What is lent, or may still be in use by a silent borrower, is reserved. The rest of the amount fills a token bucket, from which single
/// units are given at once. Reserved amounts and the bucket's refill never add up to more than the capacity's amount; reserved depths
/// and the bucket's capacity never to more than its depth. After the capacity has fallen, this holds again when the borrowers have
/// confirmed smaller shares or their shares have expired.
class ShareLender {
public:
    struct Rules {
        /// How long a share lasts, from the answer in which it is lent.
        Milliseconds validity { 2000 };
        /// A share is at most this multiple of its borrower's demand.
        double headroom { 1.3 };
        /// Borrowers that need less than this amount get single units only.
        double minAmount { 1 };
        /// Depth of a share: one unit, and what its amount yields in at most this time.
        Milliseconds maxDepthTime { 1000 };
        /// Part of the capacity's depth that may be lent.
        double lentDepth { 0.6 };
        /// A share that a borrower has confirmed is kept while it differs from the share that would replace it by less than this part.
        double keptDifference { 0.3 };
    };

    /// What a borrower reports.
    struct Request {
        /// Amount that the borrower would use.
        double demand { 0 };
        /// Number of the last answer that it has applied; 0 if it has applied none of this lender's.
        uint64_t confirmed { 0 };
        /// What it holds from an earlier lender, and for how long.
        LentShare held {};
        Milliseconds heldFor {};
        /// All units that its shares have yielded and that it could not keep, since its first answer of this lender. They return to the
        /// bucket.
        double returned { 0 };
        /// Single units that it needs at once.
        double wanted { 0 };
        /// Whether it gets no share.
        bool unitsOnly { false };
    };

    /// What a borrower gets.
    struct Answer {
        /// To be confirmed by the borrower; increases with each answer.
        uint64_t number { 0 };
        /// Replaces what the borrower held.
        LentShare share;
        /// Whether the share is the one that the borrower has confirmed, so that it only lasts longer.
        bool isKept { false };
        /// Single units.
        double units { 0 };
        /// Whether fewer units were given than wanted, and whether all borrowers together need more than the capacity.
        bool isShort { false };
        bool isOverloaded { false };
    };

    explicit ShareLender(const Rules& rules)
        : m_rules(rules)
    {
    }

    /// Changes the capacity. The bucket is cut at once, shares in the next answers. A new bucket is full.
    void setCapacity(const LentShare&, Instant now);
    const LentShare& capacity() const { return m_capacity; }

    /// Takes units out of a bucket that holds more than this.
    void limitLevel(double units) { m_level = std::min(m_level, units); }

    /// Takes at most so many whole units out of the bucket, and returns how many.
    double takeUnits(double units, Instant now);
    /// Puts units into the bucket, as far as they fit.
    void addUnits(double units) { m_level = std::min(m_level + units, std::max(m_level, depthLimit())); }

    /// Reserves what borrowers that are not known yet may hold from an earlier lender.
    void presume(const LentShare&, Instant until);

    Answer answer(const std::string& borrower, const Request&, Instant now);
    /// Notes that the borrower has returned its share.
    void release(const std::string& borrower, Instant now);
    /// Frees shares that have expired.
    void expire(Instant now);

    /// What is lent, or may still be in use.
    LentShare reserved() const { return { m_reserved.amount + m_presumed.amount, m_reserved.depth + m_presumed.depth }; }
    /// Refill rate of the bucket.
    double freeAmount() const;
    /// Units in the bucket, as of the last call that changed it.
    double level() const { return m_level; }
    /// Sum of the borrowers' demand.
    double demand() const;
    size_t borrowers() const { return m_borrowers.size(); }
    /// What is reserved for the borrower.
    LentShare reservedFor(const std::string& borrower) const;

private:
    struct Borrower {
        double demand { 0 };
        /// The greatest share that the borrower may still use.
        LentShare reserved {};
        /// The share of the last answer.
        LentShare latest {};
        uint64_t latestNumber { 0 };
        Instant expiresAt {};
        double returned { 0 };
        Instant returnedAt {};
    };

    void refill(Instant now);
    double depthLimit() const;
    void reserve(Borrower&, const LentShare&);
    void confirm(Borrower&, const Request&, Instant now);
    void takeBack(Borrower&, const Request&, Instant now);
    LentShare nextShare(const Borrower&) const;
    /// Whether the borrower may keep the share that it has confirmed.
    bool mayKeep(const Borrower&, const Request&, const LentShare& next) const;
    /// The greatest amount that a borrower gets, so that all that need less get what they need.
    void updateFairAmount(Instant now);
    void updateDepthTime();

    Rules m_rules;
    LentShare m_capacity;
    bool m_hasCapacity { false };
    LentShare m_reserved;
    LentShare m_presumed;
    Instant m_presumedUntil;
    double m_level { 0 };
    Instant m_refilledAt;
    uint64_t m_lastNumber { 0 };
    double m_fairAmount { 0 };
    /// Time for which the amounts of all borrowers fit into the depth that may be lent, in s.
    double m_depthSeconds { 0 };
    Instant m_fairAt;
    Instant m_nextExpiry;
    std::map<std::string, Borrower> m_borrowers;
};

}
