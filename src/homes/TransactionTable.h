#pragma once

#include "base/EventLoop.h"
#include "connections/ConnectionPool.h"
#include "statements/StatementRequest.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// An open transaction and the connection that it alone uses.
struct OpenTransaction {
    TransactionId id;
    ShopId shop;
    Term term;
    std::unique_ptr<PooledConnection> connection;
    bool isBusy { false };
    Instant lastUsed;
};

/// The open transactions of one target at its home.
class TransactionTable {
public:
    /// `prefix` makes the ids name this daemon and target; `idleLimit` ends forgotten transactions.
    TransactionTable(EventLoop&, std::string prefix, Milliseconds idleLimit);

    /// Gives a connection to a new transaction.
    std::shared_ptr<OpenTransaction> open(const ShopId&, Term, std::unique_ptr<PooledConnection>);

    /// Takes the transaction up for one statement. TransactionUnknown, also for another shop's; TransactionBusy
    /// while another statement of it runs.
    absl::StatusOr<std::shared_ptr<OpenTransaction>> use(const TransactionId&, const ShopId&);

    /// Any open transaction; there must be one.
    OpenTransaction& first() { return *m_transactions.begin()->second; }

    /// Ends the statement's use; the transaction stays open.
    void release(OpenTransaction&);

    /// Forgets the transaction. Its connection is closed unless it was taken back before.
    void close(const TransactionId&);

    /// Closes the transactions that were idle for too long; the targets roll them back.
    void closeIdle();

    size_t size() const { return m_transactions.size(); }

private:
    EventLoop& m_loop;
    std::string m_prefix;
    Milliseconds m_idleLimit;
    uint64_t m_last { 0 };
    std::map<TransactionId, std::shared_ptr<OpenTransaction>> m_transactions;
};

/// The daemon that an id names; empty when the id is malformed.
InstanceId instanceOf(const TransactionId&);

/// The target that an id names; empty when the id is malformed.
TargetId targetOf(const TransactionId&);

/// The prefix of ids for transactions of `target` at `instance`; `start` tells apart the daemon's lives.
std::string transactionPrefix(const InstanceId& instance, const TargetId& target, Instant start);

}
