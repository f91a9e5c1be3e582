#include "Client.h"

#include <set>
#include <sstream>

namespace rig {

bool isPromise(const std::string& error)
{
    static const std::set<std::string> promises { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY" };
    return promises.count(error) > 0;
}

Client::Client(std::string name, Record& record, Ledger& ledger)
    : m_name(std::move(name))
    , m_record(record)
    , m_ledger(ledger)
{
}

bool Client::open(const std::string& host, uint16_t port, const std::string& database)
{
    close();
    constexpr int64_t greetingMs = 2000;
    m_stream = Stream::connect(host, port);
    std::string line;
    if (m_stream && m_stream->send("STARTUP " + database + " " + m_name + "\r\n") && m_stream->readLine(line, nowMs() + greetingMs) && line.rfind("READY", 0) == 0)
        return true;
    close();
    return false;
}

void Client::close()
{
    m_stream = nullptr;
    m_values.clear();
    m_prepared.clear();
}

Answer Client::ask(const std::string& text)
{
    constexpr int64_t answerMs = 6000;
    std::istringstream in(text);
    std::string word;
    std::string name;
    in >> word >> name;
    const size_t rest = word.size() + name.size() + 2;
    m_lastId = m_name + "-" + std::to_string(++m_count);
    SentStatement sent { text, "", m_values };
    if (word == "EXECUTE")
        sent.shape = m_prepared[name];
    m_ledger.add(m_lastId, sent);
    m_record.write("client " + m_name + " sends " + m_lastId + " " + text + (sent.shape.empty() ? "" : " prepared as [" + sent.shape + "]"));
    Answer answer;
    if (!m_stream || !m_stream->send("QUERY " + m_lastId + " " + text + "\r\n"))
        return answer;
    const int64_t deadline = nowMs() + answerMs;
    for (std::string line; m_stream->readLine(line, deadline);) {
        std::istringstream fields(line);
        std::string kind;
        fields >> kind;
        if (kind == "DATAROW")
            answer.rows.push_back(line.substr(kind.size() + 1));
        else if (kind == "COMPLETE")
            fields >> answer.signature;
        else if (kind == "ERROR")
            fields >> answer.error;
        else if (kind == "READY") {
            fields >> answer.state;
            answer.isComplete = true;
            break;
        }
    }
    m_record.write("client " + m_name + " gets for " + m_lastId + " " + (!answer.isComplete ? "no answer" : answer.error.empty() ? "COMPLETE " + answer.signature
                                                                                                                                 : "ERROR " + answer.error)
        + " state " + answer.state);
    if (answer.isSuccess() && word == "SET")
        m_values[name] = text.substr(rest);
    if (answer.isSuccess() && word == "PREPARE")
        m_prepared[name] = text.substr(rest);
    return answer;
}

}
