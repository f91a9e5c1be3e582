#pragma once

#include "base/EventLoop.h"
#include "connections/ConnectionPool.h"
#include "statements/StatementRequest.h"

#include <map>
#include <memory>

namespace parsleypaddle {

/// An open transaction and the connection that is reserved for it.
struct OpenTransaction {
    TransactionId id;
    OrganisationId organisation;
    Term term;
    std::unique_ptr<PooledConnection> connection;
    bool isBusy { false };
    Instant lastUsed;
};

/// The transactions that one daemon holds open at one target.
class TransactionTable {
public:
    /// Every transaction id starts with `idPrefix`, as made by transactionPrefix(). Transactions that are idle for
    /// `idleTimeout` are closed by closeIdleTransactions().
    TransactionTable(EventLoop&, std::string idPrefix, Milliseconds idleTimeout);

    /// Adds a transaction that was started on the given connection. It is marked as busy until release() is called.
    std::shared_ptr<OpenTransaction> open(const OrganisationId&, Term, std::unique_ptr<PooledConnection>);

    /// Marks the transaction as busy with one statement. TransactionUnknown when the organisation has no open transaction with that
    /// id, TransactionBusy while another statement of the transaction runs.
    absl::StatusOr<std::shared_ptr<OpenTransaction>> acquire(const TransactionId&, const OrganisationId&);

    /// An arbitrary open transaction; there must be at least one. Used by the test hook that deliberately runs statements on
    /// a connection that may belong to another transaction.
    OpenTransaction& anyOpen() { return *m_transactions.begin()->second; }

    /// Marks the transaction as free for its next statement and restarts its idle time.
    void release(OpenTransaction&);

    /// Removes the transaction. Its connection returns to the pool when the caller resets it or releases the last reference to
    /// the transaction, unless the connection was discarded before.
    void close(const TransactionId&);

    /// Closes the transactions that exceeded the idle timeout, and their connections; the target then rolls them back.
    void closeIdleTransactions();

    size_t size() const { return m_transactions.size(); }

private:
    EventLoop& m_loop;
    std::string m_idPrefix;
    Milliseconds m_idleTimeout;
    uint64_t m_lastNumber { 0 };
    std::map<TransactionId, std::shared_ptr<OpenTransaction>> m_transactions;
};

/// The instance whose daemon holds the transaction, read from its id; empty when the id is malformed.
InstanceId instanceOf(const TransactionId&);

/// The target of the transaction, read from its id; empty when the id is malformed.
TargetId targetOf(const TransactionId&);

/// The prefix of transaction ids of `target` at `instance`. It contains the start time of the daemon process, so that ids
/// from before a restart are not used again.
std::string transactionPrefix(const InstanceId& instance, const TargetId& target, Instant processStart);

}
