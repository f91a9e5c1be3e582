#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace parsleypaddle {

/// What a coordinator tells the coordinators of other failure domains about one organisation.
struct DomainClaim {
    OrganisationId organisation;
    /// Operations a second, refused ones included.
    double demand { 0 };
    /// Upper limit of what the domain uses, as a part of the organisation's limit.
    double claim { 0 };
    /// Increases with each change of a claim of this coordinator.
    uint64_t version { 0 };
};

/// A part of the claims that another domain lacks.
struct ClaimUpdate {
    /// Identifies the sending coordinator's period of acting; increases with each one of its domain.
    uint64_t term { 0 };
    /// The claims are all that changed after version `from` up to version `to`.
    uint64_t from { 0 };
    uint64_t to { 0 };
    /// The sender's latest version.
    uint64_t latest { 0 };
    /// Up to which version of which period the sender has the receiver's claims.
    uint64_t confirmedTerm { 0 };
    uint64_t confirmed { 0 };
    std::vector<DomainClaim> claims;
};

/// One failure domain's part of each organisation's limit. All domains compute claims from all domains' demand by the same rule. A domain
/// uses a greater part only when each other one has confirmed its claim, and its part and the last claims of the others add up to at
/// most the limit. So the parts never exceed the limit, whatever is lost or delayed; a domain that is not heard from keeps its claim.
/// Does no I/O and reads no clock.
class DomainShares {
public:
    /// Part of each limit that domains without demand have together, and that every domain may use unconditionally.
    static constexpr double smallShares = 0.05;

    /// `domains` lists all failure domains, the own one included. `term` identifies this coordinator's period of acting.
    DomainShares(FailureDomainId own, const std::set<FailureDomainId>& domains, uint64_t term);

    /// Sets the other domains whose claims count. Others are taken to use nothing but their small share.
    void setPresent(const std::set<FailureDomainId>&);
    /// Whether the domain may use more than its small share.
    void setValid(bool isValid) { m_isValid = isValid; }
    /// Sets the own demand, and what is lent at present as a part of the limit, below which a claim does not fall.
    void setOwn(const OrganisationId&, double demand, double used);
    void remove(const OrganisationId&);

    /// Takes what another domain's coordinator has sent. Returns whether it holds new claims.
    bool apply(const FailureDomainId&, const ClaimUpdate&);
    /// What that domain lacks; `claims` is sorted by version.
    ClaimUpdate updateFor(const FailureDomainId&) const;
    /// The period of acting of the domain's coordinator; 0 if nothing was received from it.
    uint64_t termOf(const FailureDomainId&) const;
    /// Whether the domain has confirmed this period of acting.
    bool isConnected(const FailureDomainId&) const;

    /// The part of the organisation's limit that this domain may use now, between 0 and 1.
    double share(const OrganisationId&);
    double smallShare() const { return smallShares / static_cast<double>(m_domainCount); }
    /// Identifies this period of acting.
    uint64_t term() const { return m_term; }
    /// Increases when claims of this domain change.
    uint64_t version() const { return m_version; }

private:
    struct Remote {
        bool isPresent { true };
        uint64_t term { 0 };
        uint64_t received { 0 };
        /// Whether all claims were received that existed at the first contact; others are unknown before that.
        bool isComplete { false };
        std::map<OrganisationId, DomainClaim> claims;
        /// What the domain has confirmed of the own claims of this period.
        bool hasConfirmed { false };
        uint64_t confirmed { 0 };
    };

    struct Own {
        DomainClaim claim;
        double used { 0 };
        double share { 0 };
        /// By domain: the smallest claim since the last confirmed one.
        std::map<FailureDomainId, double> confirmed;
    };

    double equalShare() const { return 1.0 / static_cast<double>(m_domainCount); }
    double fairShare(const OrganisationId&, double ownDemand) const;
    double claimOf(const Remote&, const OrganisationId&) const;
    /// What the domains' confirmations allow.
    double confirmedLimit(const Own&) const;
    /// What the other domains' claims leave.
    double unclaimed(const OrganisationId&) const;
    Own& ownOf(const OrganisationId&);
    void updateClaim(Own&, double demand);
    void noteConfirmation(const FailureDomainId&, Remote&, const ClaimUpdate&);

    size_t m_domainCount;
    uint64_t m_term;
    uint64_t m_version { 0 };
    bool m_isValid { true };
    std::map<FailureDomainId, Remote> m_remotes;
    std::map<OrganisationId, Own> m_own;
};

}
