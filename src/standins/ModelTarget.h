#pragma once

#include "standins/GroupModel.h"

namespace parsleypaddle {

/// One target of a modelled group; of no use outside of GroupModel.
struct GroupModel::ModelTarget {
    TargetId id;
    TargetRole role { TargetRole::Replica };
    Term term;
    /// The term it is or was primary at; 0 when it never was.
    Term ledTerm;
    /// The latest term whose primary's log its own is the beginning of.
    Term followedTerm;
    /// The term last fenced here and not yet promoted by anyone.
    bool isFenced { false };
    std::vector<std::shared_ptr<const ModelCommit>> log;
    size_t applied { 0 };
    ModelRecords records;
    std::map<std::pair<std::string, std::string>, ModelLedgerEntry> ledger;
    Milliseconds delay { 1 };
    Milliseconds applyLag { 0 };
    /// Every commit up to then has been applied here.
    Instant freshAt;
    bool isIsolated { false };
    bool isLeaving { false };
};

/// The key of a ledger entry within a target.
inline std::pair<std::string, std::string> ledgerIndex(const LedgerKey& key)
{
    return { key.organisation.value(), key.request.value() };
}

}
