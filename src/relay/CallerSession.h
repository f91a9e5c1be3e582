#pragma once

#include "relay/Relay.h"

#include <deque>
#include <memory>

namespace parsleypaddle {

/// The way back to a caller.
class CallerPort {
public:
    virtual ~CallerPort() = default;

    /// One answer, with the state that the session is in after it.
    virtual void answer(const RelayAnswer&) = 0;
    virtual void close() = 0;
};

/// Who holds a session.
enum class CallerKind : uint8_t {
    Caller,
    /// Another daemon, for callers of its own: their statements are not passed on again.
    Peer,
};

/// A caller's session: it lives as long as the caller's connection, and with it the values, the prepared statements and
/// at most one transaction. Statements are answered in order.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    /// `port` is used until leave() is called.
    static std::shared_ptr<CallerSession> create(Relay&, DatabaseId, ShopId caller, CallerKind, CallerPort& port);

    void handle(RelayStep);

    /// The caller's connection is gone.
    void leave();

    /// Whether no statement is under way and no transaction is open.
    bool isIdle() const { return !m_isRunning && m_waiting.empty() && m_state == TransactionState::Idle; }
    bool isInTransaction() const { return m_state != TransactionState::Idle; }
    Instant lastUsed() const { return m_lastUsed; }

    /// Ends a transaction that has rested too long.
    void tidy();
    /// Takes back the open transaction between two statements; its caller hears of it with the next answer.
    void endTransaction(std::string_view why);
    void close();

private:
    using Handler = void (CallerSession::*)(const RelayStep&);

    CallerSession(Relay&, DatabaseId, ShopId caller, CallerKind, CallerPort&);

    void dispatch(const RelayStep&);
    void nextWaiting();

    void begin(const RelayStep&);
    void commit(const RelayStep&);
    void rollBack(const RelayStep&);
    void statement(const RelayStep&);
    void execute(const RelayStep&);
    void setValue(const RelayStep&);
    void prepare(const RelayStep&);
    void deallocate(const RelayStep&);
    void reset(const RelayStep&);
    void refuseUnknown(const RelayStep&);

    void send(RelayJob);
    void finished(RelayResult, bool endsTransaction);
    void dropTransaction();
    void accept();
    void reject(RelayError, std::string_view why);
    void reply(RelayAnswer);
    CallerImage& changeImage();
    std::shared_ptr<const Route> currentRoute() const;

    Relay& m_relay;
    DatabaseId m_database;
    ShopId m_caller;
    CallerKind m_kind;
    CallerPort* m_port;
    std::shared_ptr<const CallerImage> m_image { std::make_shared<CallerImage>() };
    SessionMark m_own;
    TransactionState m_state { TransactionState::Idle };
    /// How the open transaction began; set until its first statement is sent.
    std::optional<RelayKind> m_opens;
    /// The log that a peer's caller must see, told with a statement or with the begin of its transaction.
    std::optional<LogMark> m_after;
    std::shared_ptr<const Route> m_transactionRoute;
    std::shared_ptr<RelayTransaction> m_transaction;
    /// Why the transaction was ended between two statements; empty when it was not.
    std::string m_endedBecause;
    std::deque<RelayStep> m_waiting;
    bool m_isRunning { false };
    Instant m_lastUsed;
};

}
