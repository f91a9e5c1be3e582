#pragma once

#include "configuration/Configuration.h"
#include "quotas/DomainShares.h"
#include "quotas/ShareLender.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace parsleypaddle {

// Datagrams between daemons, without the protocol's name: a kind with its version, names, numbers, and entries that begin with an
// organisation, all separated by blanks, and a full stop. Names are percent-encoded. Anything else is rejected.

/// A daemon to the coordinator of its failure domain.
struct QuotaReport {
    struct Entry {
        OrganisationId organisation;
        double demand { 0 };
        LentShare held;
        Milliseconds heldFor;
        /// Operations that wait for an allowance.
        double waiting { 0 };
        /// Number of the last answer for this organisation that was applied.
        uint64_t confirmed { 0 };
        /// See ShareLender::Request.
        double returned { 0 };
    };

    InstanceId instance;
    /// Increases with each report of a process, and from one process to the next.
    uint64_t number { 0 };
    /// The coordinator whose answers are confirmed.
    uint64_t coordinator { 0 };
    std::vector<Entry> entries;
};

/// Answers a QuotaReport.
struct QuotaAnswer {
    struct Entry {
        OrganisationId organisation;
        LentShare share;
        double units { 0 };
        /// Operations a second that the coordinator can give as single units.
        double freeRate { 0 };
        /// Whether fewer units were given than operations wait, because the organisation is over its limit in this domain.
        bool isOverLimit { false };
        /// To be confirmed.
        uint64_t number { 0 };
    };

    /// Identifies the coordinator's period of acting; 0 when the receiver of the report does not act as coordinator.
    uint64_t coordinator { 0 };
    /// The number of the report.
    uint64_t report { 0 };
    /// Whether shares that the report confirmed and that are not among the entries last longer. Keeps answers short.
    bool keepsOthers { false };
    /// Where the acting coordinator is, if another daemon answers and knows it.
    TargetAddress coordinatorAddress {};
    std::vector<Entry> entries;
};

/// Answers a QuotaReport of which all confirmed shares last longer and nothing else changes.
struct QuotaConfirmation {
    /// The number of the report.
    uint64_t report { 0 };
};

/// A coordinator to that of another failure domain.
struct QuotaExchange {
    FailureDomainId domain;
    ClaimUpdate update;
};

/// A coordinator to that of another failure domain: units that it needs, or has taken out of its bucket for the other one.
struct QuotaTransfer {
    struct Entry {
        OrganisationId organisation;
        double wanted { 0 };
        double given { 0 };
    };

    FailureDomainId domain;
    /// The receiver's period of acting, as known to the sender. Units are for that period only.
    uint64_t receiver { 0 };
    /// Increases with each transfer of the sender, so that repeated ones are recognised.
    uint64_t number { 0 };
    std::vector<Entry> entries;
};

/// A holder to the other holders of its failure domain.
struct QuotaBeat {
    struct Entry {
        OrganisationId organisation;
        LentShare lent;
        /// Units in the bucket.
        double level { 0 };
        /// Operations a second that are asked for in the domain.
        double demand { 0 };
    };

    InstanceId instance;
    /// Whether the sender still is a holder.
    bool isHolder { true };
    /// Whether the sender acts as coordinator. Then the entries are what it has lent.
    bool isActing { false };
    bool needsReply { false };
    std::vector<Entry> entries;
};

using QuotaMessage = std::variant<QuotaReport, QuotaAnswer, QuotaConfirmation, QuotaExchange, QuotaTransfer, QuotaBeat>;

/// Longest encoded name of an organisation, in bytes. Organisations with longer names cannot be reported.
inline constexpr size_t maxQuotaNameBytes = 400;

/// Space that an organisation needs at most in a report or an answer, and space for all of them in a datagram, in bytes.
size_t quotaEntryBytes(const OrganisationId&);
inline constexpr size_t quotaEntriesBytes = 1200;

/// Encodes a message with the protocol's name, in as many datagrams as needed. A report and its answer must fit into one datagram
/// each, see quotaEntryBytes().
std::vector<std::string> encodeQuotaMessage(const QuotaMessage&);
/// Decodes a datagram without the protocol's name; nullopt for text that is malformed, truncated or of another version.
std::optional<QuotaMessage> decodeQuotaMessage(std::string_view payload);

}
