#pragma once

#include "net/TcpStream.h"
#include "wire/Message.h"
#include "wire/RandomTexts.h"
#include "wire/load/Ledger.h"

#include <memory>

namespace parsleypaddle::wire {

/// What all callers have in common.
struct CallerGroup {
    PollLoop& loop;
    Ledger& ledger;
    RandomTexts texts;
    std::vector<uint16_t> ports;
    /// Callers prepare many statements under few names, and set no values: those make daemons clear what a connection has prepared.
    bool preparesOften { false };
    bool isStopping { false };
    uint64_t lastAttempt { 0 };
    uint64_t served { 0 };
    uint64_t refused { 0 };
    uint64_t broken { 0 };
    /// Refusals by code.
    std::map<std::string, uint64_t> codes {};
};

/// Opens one session after another and runs operations in it, one request at a time, each answer checked against the ledger.
class Caller {
public:
    explicit Caller(CallerGroup& group)
        : m_group(group)
    {
    }

    /// Opens a session. Goes on until the group is stopping.
    void start();
    bool isIdle() const { return !m_stream; }

private:
    struct Step {
        StatementKind kind;
        std::string text;
    };

    void receive(std::string_view);
    void processMessage(const Message&);
    void finishRequest(const Message& ready);
    void finishError();
    void finishSuccess(const std::string& state);
    void sendNext();
    void sendStep(const Step&);
    void drawOperation();
    void drawTransaction();
    Step drawStep(bool canWrite);
    Step drawExecute(bool canWrite);
    void pause();
    void closeSession(Milliseconds pause);
    void breakSession();
    void reportWrong(const std::string& what);
    void setTimer(Milliseconds, void (Caller::*task)());
    void clearTimer();

    CallerGroup& m_group;
    std::shared_ptr<TcpStream> m_stream;
    LineSplitter m_splitter;
    TimerId m_timer { TimerId::None };
    bool m_isGreeted { false };
    size_t m_operationsLeft { 0 };
    std::map<std::string, std::string> m_values;
    struct Prepared {
        bool isWrite { false };
        std::string shape;
    };
    std::map<std::string, Prepared> m_prepared;

    /// The operation that runs, its last step first.
    std::vector<Step> m_steps;
    uint64_t m_attempt { 0 };
    bool m_isInTransaction { false };

    /// The request without an answer; an empty id when there is none.
    std::string m_id;
    Step m_step { StatementKind::Read, "" };
    std::vector<std::string> m_rows;
    std::string m_signature;
    std::string m_error;
};

}
