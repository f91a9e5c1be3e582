#pragma once

#include "net/PollLoop.h"
#include "standin_program/Pipeline.h"
#include "standin_program/WireMessage.h"
#include "standins/GroupModel.h"

#include <Poco/Net/StreamSocket.h>
#include <deque>
#include <map>

namespace parsleypaddle {

class WireSession;

/// What a session needs of the target that it belongs to.
class WireSessionOwner {
public:
    virtual ~WireSessionOwner() = default;

    /// The client has introduced itself. Calls WireSession::accept() or refuse() in its time.
    virtual void introduced(WireSession&) = 0;
    /// Calls WireSession::finish() in its time.
    virtual void submitted(WireSession&, const Pipeline&) = 0;
    /// The client has gone; the session may be dropped.
    virtual void closed(WireSession&) = 0;
};

/// The server's side of one PostgreSQL v3 connection. It hands over whole pipelines, one after the other.
class WireSession {
public:
    WireSession(PollLoop&, uint64_t id, const Poco::Net::StreamSocket&, WireSessionOwner&);
    ~WireSession();
    WireSession(const WireSession&) = delete;
    WireSession& operator=(const WireSession&) = delete;

    uint64_t id() const { return m_id; }
    const std::string& applicationName() const { return m_applicationName; }
    WireTransaction transaction() const { return m_transaction; }
    ModelTransaction& modelTransaction() { return m_modelTransaction; }

    void accept();
    void refuse(const std::string& sqlState, const std::string& message);
    void finish(const PipelineResult&);

    /// Holds what arrives unread while set.
    void setFrozen(bool);
    /// Drops what arrives and sends nothing from now on.
    void silence() { m_isSilent = true; }

private:
    void ready(Readiness);
    bool receive();
    void processInput();
    void process(const WireMessage&);
    void processStartup(const WireMessage&);
    void parse(WireFields);
    void bind(WireFields);
    void describe(WireFields);
    void execute();
    void query(WireFields);
    void sync();
    void add(PipelineRequest);
    void submitNext();
    void write(const Pipeline&, const PipelineResult&);
    void flush();
    void close();

    PollLoop& m_loop;
    uint64_t m_id;
    Poco::Net::StreamSocket m_socket;
    WireSessionOwner& m_owner;
    std::string m_applicationName;
    WireMessageReader m_reader;
    bool m_hasStarted { false };
    std::map<std::string, std::string> m_prepared;
    SqlStatement m_bound;
    Pipeline m_gathering;
    std::deque<Pipeline> m_waiting;
    bool m_isRunning { false };
    WireTransaction m_transaction { WireTransaction::Idle };
    ModelTransaction m_modelTransaction;
    std::string m_output;
    bool m_isFrozen { false };
    bool m_isSilent { false };
    bool m_isInputEnded { false };
    bool m_hasEnded { false };
};

}
