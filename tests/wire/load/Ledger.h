#pragma once

#include "wire/Statement.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleypaddle::wire {

/// What went wrong, and how often.
enum class Trouble { WrongAnswer,
    UnknownId,
    ChangedText,
    KeptDespitePromise,
    WrittenTwice,
    OutOfTransaction,
    OtherValues };

/// What a caller sends.
struct Sent {
    /// As canonicalText() gives it.
    std::string text;
    /// The operation that the statement is part of.
    uint64_t attempt { 0 };
    bool isInTransaction { false };
    /// The session's values, as textOfValues() gives them.
    std::string values;
};

/// The text of a statement without the names of prepared statements, which the daemon may change, and with the shape of what it executes.
std::string canonicalText(const Statement&, const std::string& shape);
std::string textOfValues(const std::map<std::string, std::string>&);
/// For reports: escapes all but printable bytes, and cuts long texts.
std::string printable(const std::string&);

/// All that callers sent, back ends ran and callers received. Says what doesn't fit.
class Ledger {
public:
    void add(const std::string& id, const Sent&);
    /// A value that daemons may set again under an id of their own.
    void allowRepeat(const std::string& canonicalText) { m_repeatable.insert(canonicalText); }

    /// A back end runs a statement. `attempt` is that of the connection's open transaction, 0 outside one.
    void run(const std::string& id, const Sent&);
    /// The attempt of an id; 0 for an unknown one.
    uint64_t attemptOf(const std::string& id) const;
    void answer(const std::string& id, const std::string& signature, const std::vector<std::string>& rows);
    void commit(const std::string& id);

    bool isAnswer(const std::string& id, const std::string& signature, const std::vector<std::string>& rows) const;
    /// A caller received a promise that nothing of the operation is kept.
    void promise(uint64_t attempt) { m_promised.insert(attempt); }

    void report(Trouble, const std::string& what);
    /// Compares promises with commits; called once, at the end.
    void finish();
    uint64_t count(Trouble it) const;
    uint64_t troubles() const;
    size_t statements() const { return m_entries.size(); }
    void print(std::ostream&) const;

private:
    struct Answer {
        std::string signature;
        size_t rowsHash { 0 };
    };
    struct Entry {
        /// Hashes, because texts of up to 1 MiB would fill the memory.
        size_t textHash { 0 };
        size_t textSize { 0 };
        size_t valuesHash { 0 };
        uint64_t attempt { 0 };
        bool isInTransaction { false };
        int commits { 0 };
        std::vector<Answer> answers;
    };

    void runOwn(const Sent&);

    std::unordered_map<std::string, Entry> m_entries;
    std::set<std::string> m_repeatable;
    std::set<uint64_t> m_promised;
    std::map<Trouble, uint64_t> m_counts;
    std::vector<std::string> m_samples;
};

}
