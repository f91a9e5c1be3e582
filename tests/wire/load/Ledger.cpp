#include "wire/load/Ledger.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <functional>

namespace parsleypaddle::wire {

namespace {

    size_t hashOf(const std::string& text) { return std::hash<std::string> {}(text); }

    size_t hashOf(const std::vector<std::string>& rows)
    {
        std::string all;
        for (const auto& it : rows)
            absl::StrAppend(&all, it.size(), ":", it);
        return hashOf(all);
    }

    const char* nameOf(Trouble trouble)
    {
        switch (trouble) {
        case Trouble::WrongAnswer:
            return "answers not the caller's";
        case Trouble::UnknownId:
            return "ids nobody sent";
        case Trouble::ChangedText:
            return "texts changed";
        case Trouble::KeptDespitePromise:
            return "kept despite a promise";
        case Trouble::WrittenTwice:
            return "written twice";
        case Trouble::OutOfTransaction:
            return "outside its transaction";
        case Trouble::OtherValues:
            return "with other values";
        }
        return "";
    }

    constexpr Trouble allTroubles[] = { Trouble::WrongAnswer, Trouble::UnknownId, Trouble::ChangedText, Trouble::KeptDespitePromise,
        Trouble::WrittenTwice, Trouble::OutOfTransaction, Trouble::OtherValues };

}

std::string canonicalText(const Statement& statement, const std::string& shape)
{
    switch (statement.kind) {
    case StatementKind::Execute:
        return absl::StrCat("EXECUTE ", shape, " ", statement.rest);
    case StatementKind::PrepareRead:
        return "PREPARE READ " + statement.rest;
    case StatementKind::PrepareWrite:
        return "PREPARE WRITE " + statement.rest;
    case StatementKind::Deallocate:
        return "DEALLOCATE";
    default:
        return statement.text;
    }
}

std::string textOfValues(const std::map<std::string, std::string>& values)
{
    std::string text;
    for (const auto& [name, value] : values)
        absl::StrAppend(&text, name, " ", value.size(), ":", value, ";");
    return text;
}

std::string printable(const std::string& text)
{
    constexpr size_t maxBytes = 120;
    const std::string escaped = absl::CHexEscape(text.substr(0, maxBytes));
    return text.size() > maxBytes ? absl::StrCat(escaped, "... (", text.size(), " bytes)") : escaped;
}

void Ledger::add(const std::string& id, const Sent& sent)
{
    Entry entry;
    entry.textHash = hashOf(sent.text);
    entry.textSize = sent.text.size();
    entry.valuesHash = hashOf(sent.values);
    entry.attempt = sent.attempt;
    entry.isInTransaction = sent.isInTransaction;
    m_entries[id] = std::move(entry);
}

void Ledger::run(const std::string& id, const Sent& run)
{
    if (id == "-")
        return runOwn(run);
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return report(Trouble::UnknownId, absl::StrCat("id ", printable(id), " text ", printable(run.text)));
    const Entry& entry = it->second;
    if (entry.textHash != hashOf(run.text) || entry.textSize != run.text.size())
        report(Trouble::ChangedText, absl::StrCat("id ", id, " text ", printable(run.text), ", sent with ", entry.textSize, " bytes"));
    if (entry.isInTransaction != run.isInTransaction || (run.isInTransaction && run.attempt != 0 && run.attempt != entry.attempt))
        report(Trouble::OutOfTransaction, absl::StrCat("id ", id, " text ", printable(run.text)));
    if (entry.valuesHash != hashOf(run.values))
        report(Trouble::OtherValues, absl::StrCat("id ", id, " text ", printable(run.text), " values ", printable(run.values)));
}

// A daemon may prepare, repeat what sessions have set, begin and roll back, but never read, write or commit by itself.
void Ledger::runOwn(const Sent& run)
{
    static const std::set<std::string> allowed { "BEGIN", "BEGIN READ", "ROLLBACK", "RESET", "STATUS", "RESUME", "DEALLOCATE" };
    const auto begins = [&run](const char* word) { return run.text.rfind(word, 0) == 0; };
    if (!begins("DEMOTE ") && !begins("PAUSE ") && !begins("PREPARE ") && allowed.count(run.text) == 0 && m_repeatable.count(run.text) == 0)
        report(Trouble::UnknownId, "id - text " + printable(run.text));
}

uint64_t Ledger::attemptOf(const std::string& id) const
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? 0 : it->second.attempt;
}

void Ledger::answer(const std::string& id, const std::string& signature, const std::vector<std::string>& rows)
{
    auto it = m_entries.find(id);
    if (it != m_entries.end())
        it->second.answers.push_back({ signature, hashOf(rows) });
}

void Ledger::commit(const std::string& id)
{
    auto it = m_entries.find(id);
    if (it != m_entries.end() && ++it->second.commits == 2)
        report(Trouble::WrittenTwice, "id " + id);
}

bool Ledger::isAnswer(const std::string& id, const std::string& signature, const std::vector<std::string>& rows) const
{
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    const size_t hash = hashOf(rows);
    for (const auto& answer : it->second.answers) {
        if (answer.signature == signature && answer.rowsHash == hash)
            return true;
    }
    return false;
}

void Ledger::report(Trouble trouble, const std::string& what)
{
    constexpr uint64_t samplesOfAKind = 4;
    if (++m_counts[trouble] <= samplesOfAKind)
        m_samples.push_back(absl::StrCat(nameOf(trouble), ": ", what));
}

void Ledger::finish()
{
    for (const auto& [id, it] : m_entries) {
        if (it.commits > 0 && m_promised.count(it.attempt) > 0)
            report(Trouble::KeptDespitePromise, "id " + id);
    }
}

uint64_t Ledger::count(Trouble trouble) const
{
    auto it = m_counts.find(trouble);
    return it == m_counts.end() ? 0 : it->second;
}

uint64_t Ledger::troubles() const
{
    uint64_t sum = 0;
    for (const auto& [trouble, n] : m_counts)
        sum += n;
    return sum;
}

void Ledger::print(std::ostream& out) const
{
    for (const auto& it : m_samples)
        out << it << '\n';
    for (const auto it : allTroubles)
        out << nameOf(it) << ": " << count(it) << '\n';
}

}
