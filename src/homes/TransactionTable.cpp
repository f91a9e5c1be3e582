#include "homes/TransactionTable.h"

#include "base/ResultCode.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace parsleypaddle {

namespace {

    constexpr char separator = '/';
    constexpr size_t idPartCount = 4;

    std::string partOf(const TransactionId& id, size_t n)
    {
        const std::vector<std::string> parts = absl::StrSplit(id.value(), separator);
        return parts.size() == idPartCount ? parts[n] : std::string();
    }

}

InstanceId instanceOf(const TransactionId& id)
{
    return InstanceId(partOf(id, 0));
}

TargetId targetOf(const TransactionId& id)
{
    return TargetId(partOf(id, 1));
}

std::string transactionPrefix(const InstanceId& instance, const TargetId& target, Instant processStart)
{
    return absl::StrCat(instance.value(), "/", target.value(), "/", static_cast<uint64_t>(processStart.sinceEpoch()), "/");
}

TransactionTable::TransactionTable(EventLoop& loop, std::string idPrefix, Milliseconds idleTimeout)
    : m_loop(loop)
    , m_idPrefix(std::move(idPrefix))
    , m_idleTimeout(idleTimeout)
{
}

std::shared_ptr<OpenTransaction> TransactionTable::open(const OrganisationId& organisation, Term term, std::unique_ptr<PooledConnection> connection)
{
    auto transaction = std::make_shared<OpenTransaction>();
    transaction->id = TransactionId(absl::StrCat(m_idPrefix, ++m_lastNumber));
    transaction->organisation = organisation;
    transaction->term = term;
    transaction->connection = std::move(connection);
    transaction->isBusy = true;
    transaction->lastUsed = m_loop.now();
    m_transactions[transaction->id] = transaction;
    return transaction;
}

absl::StatusOr<std::shared_ptr<OpenTransaction>> TransactionTable::acquire(const TransactionId& id, const OrganisationId& organisation)
{
    auto it = m_transactions.find(id);
    if (it == m_transactions.end() || it->second->organisation != organisation)
        return makeError(ResultCode::TransactionUnknown, "no open transaction of this shop has that id; it may have been rolled back after the idle timeout");
    if (it->second->isBusy)
        return makeError(ResultCode::TransactionBusy, "another statement of the transaction is still running");
    it->second->isBusy = true;
    return it->second;
}

void TransactionTable::release(OpenTransaction& transaction)
{
    transaction.isBusy = false;
    transaction.lastUsed = m_loop.now();
}

void TransactionTable::close(const TransactionId& id)
{
    m_transactions.erase(id);
}

void TransactionTable::closeIdleTransactions()
{
    const Instant limit = m_loop.now() - m_idleTimeout;
    for (auto it = m_transactions.begin(); it != m_transactions.end();) {
        OpenTransaction& transaction = *it->second;
        if (transaction.isBusy || transaction.lastUsed > limit) {
            ++it;
            continue;
        }
        // The transaction is still open at the target, so the connection must not be reused. Closing it rolls the
        // transaction back.
        transaction.connection->discard();
        it = m_transactions.erase(it);
    }
}

}
