#pragma once

#include "Database.h"

#include <map>
#include <string>
#include <vector>

namespace rig {

/// The answer to a statement.
struct Answer {
    /// Empty if the connection ended before the answer, or no answer came in time.
    bool isComplete { false };
    std::string error;
    std::string signature;
    std::vector<std::string> rows;
    char state { '?' };

    bool isSuccess() const { return isComplete && error.empty(); }
};

/// A client's session: one connection to a daemon.
class Client {
public:
    Client(std::string name, Record&, Ledger&);

    bool open(const std::string& host, uint16_t port, const std::string& database);
    void close();
    bool isOpen() const { return m_stream != nullptr; }
    /// Sends the statement under a new id and waits for its answer. Notes it in the ledger before.
    Answer ask(const std::string& text);
    const std::string& lastId() const { return m_lastId; }

private:
    std::string m_name;
    Record& m_record;
    Ledger& m_ledger;
    std::shared_ptr<Stream> m_stream;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared;
    std::string m_lastId;
    uint64_t m_count { 0 };
};

/// Whether the error promises that nothing of the attempt is kept.
bool isPromise(const std::string& error);

}
