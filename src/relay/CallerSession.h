#pragma once

#include "relay/Relay.h"
#include "relay/SessionCommits.h"

#include <deque>
#include <memory>

namespace parsleypaddle {

/// Sends answers to a caller over its connection.
class CallerPort {
public:
    virtual ~CallerPort() = default;

    /// Sends one answer, which includes the session's transaction state.
    virtual void answer(const RelayAnswer&) = 0;
    virtual void close() = 0;
    /// Whether parts of answers are not passed on to the operating system yet.
    virtual bool hasUnsentAnswers() const = 0;
    /// Reads nothing further from the connection, and closes it if every statement that was read is answered. The session calls this again
    /// after each answer.
    virtual void closeIfAnswered() = 0;
};

/// The kind of client that opened a session.
enum class CallerKind : uint8_t {
    Caller,
    /// Another daemon that forwards statements of its own callers. They are not forwarded a second time.
    Peer,
};

/// When a session that is to be closed ends.
enum class SessionEnd : uint8_t {
    None,
    AfterOperation,
    AfterStatement,
};

/// A caller's session: its variables, its prepared statements and at most one open transaction. It lives as long as the
/// caller's connection, and answers statements in the order of their arrival.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    /// `port` must remain valid until detach() is called.
    static std::shared_ptr<CallerSession> create(Relay&, DatabaseId, CallerKey, CallerKind, CallerPort& port);

    /// Runs the statement, or queues it while an earlier one is running. Closes the caller's connection when the queue is
    /// full.
    void runOrQueue(RelayStep);

    /// Detaches the session from the caller's connection, which has closed. The open transaction is rolled back once its
    /// running statement, if any, has been answered.
    void detach();

    /// Whether every statement is answered and no transaction is open.
    bool isIdle() const { return !hasUnansweredStatement() && m_state == TransactionState::Idle; }
    const DatabaseId& database() const { return m_database; }
    bool hasUnansweredStatement() const { return m_isRunning || !m_waiting.empty() || (m_port && m_port->hasUnsentAnswers()); }
    bool isInTransaction() const { return m_state != TransactionState::Idle; }
    Instant lastUsed() const { return m_lastUsed; }

    /// Rolls back the open transaction if the session has neither received nor answered a statement for longer than the
    /// configured limit. A transaction whose BEGIN was not sent to a target yet is kept.
    void endIdleTransaction();
    /// Rolls back the open transaction, once its running statement, if any, is answered. The next statement other than ROLLBACK is
    /// answered with Aborted and `why`.
    void endTransaction(std::string_view why);
    /// Ends the session if its key is not in the routes in force, unless its route is public: rolls back the open transaction, answers
    /// queued statements with Unauthorized and closes the caller's connection, in each case once the running statement is answered.
    void checkKey();
    /// Closes the caller's connection.
    void close();
    /// Closes the caller's connection once every statement that was read is answered and, unless `end` is AfterStatement, no transaction is
    /// open. Call it again until the session has ended, because an answer may take time to be sent.
    void closeAfter(SessionEnd end);
    /// Whether closeAfter() was called.
    bool isClosing() const { return m_end != SessionEnd::None; }
    CallerKind kind() const { return m_kind; }

private:
    using Handler = void (CallerSession::*)(const RelayStep&);

    CallerSession(Relay&, DatabaseId, CallerKey, CallerKind, CallerPort&);

    void dispatch(const RelayStep&);
    void dispatchNextWaiting();

    void begin(const RelayStep&);
    void commit(const RelayStep&);
    void rollBack(const RelayStep&);
    void runStatement(const RelayStep&);
    void execute(const RelayStep&);
    void setValue(const RelayStep&);
    void prepare(const RelayStep&);
    void deallocate(const RelayStep&);
    void reset(const RelayStep&);
    void rejectTooLong(const RelayStep&);
    void rejectUnknown(const RelayStep&);
    void rejectDatabase();

    void send(RelayJob);
    StatementIdentity identify(const std::optional<ForwardedFor>&, const Route&) const;
    void askQuota(RelayJob);
    void sendAdmitted(RelayJob);
    void refuseQuota(const RelayJob&, Milliseconds retryAfter);
    void refuseIdentity(const RelayJob&, const StatementIdentity&);
    void rejectStatement(const RelayJob&, RelayError, std::string_view why);
    void endUnauthorized();
    void statementFinished(const Route&, RelayResult, bool endsTransaction);
    void dropTransaction();
    void closeIfEnded();
    void replySuccess();
    void reject(RelayError, std::string_view why);
    void reply(RelayAnswer);
    CallerSessionState& mutableSessionState();
    std::shared_ptr<const Route> currentRoute() const;

    Relay& m_relay;
    DatabaseId m_database;
    CallerKey m_key;
    CallerKind m_kind;
    CallerPort* m_port;
    std::shared_ptr<const CallerSessionState> m_sessionState { std::make_shared<CallerSessionState>() };
    SessionCommits m_commits;
    TransactionState m_state { TransactionState::Idle };
    /// The BEGIN of the open transaction, set until the transaction's first statement is sent.
    std::optional<RelayKind> m_pendingBegin;
    /// Log mark that a forwarding daemon requires for its caller. Received with a statement or a BEGIN, and used for the next
    /// statement that is sent.
    std::optional<LogMark> m_requiredMark;
    std::shared_ptr<const Route> m_transactionRoute;
    std::shared_ptr<RelayTransaction> m_transaction;
    /// In whose name the open transaction runs; set with its first statement. Its connection belongs to that organisation, so a key that
    /// moves to another one acts for it from the next transaction on.
    StatementIdentity m_transactionIdentity;
    /// Why the transaction was rolled back between two statements; empty when it was not or the caller has received the reason.
    std::string m_abortReason;
    /// Why the transaction is rolled back once its running statement is answered; empty if it is not.
    std::string m_pendingAbortReason;
    std::deque<RelayStep> m_waiting;
    bool m_isRunning { false };
    SessionEnd m_end { SessionEnd::None };
    /// Whether the routes in force do not have the session's key.
    bool m_isKeyWithdrawn { false };
    Instant m_lastUsed;
};

}
