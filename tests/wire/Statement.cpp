#include "wire/Statement.h"

#include <algorithm>
#include <array>

namespace parsleypaddle::wire {

namespace {

    /// The arguments of a statement: a name up to a blank, and the rest of the text.
    enum class Arguments { None,
        Name,
        NameAndRest,
        Rest };

    struct Form {
        std::string_view word;
        StatementKind kind;
        Arguments arguments;
    };

    constexpr std::array<Form, 13> forms { {
        { "COMMIT", StatementKind::Commit, Arguments::None },
        { "ROLLBACK", StatementKind::Rollback, Arguments::None },
        { "READ", StatementKind::Read, Arguments::Name },
        { "WRITE", StatementKind::Write, Arguments::NameAndRest },
        { "SET", StatementKind::Set, Arguments::NameAndRest },
        { "EXECUTE", StatementKind::Execute, Arguments::NameAndRest },
        { "DEALLOCATE", StatementKind::Deallocate, Arguments::Name },
        { "RESET", StatementKind::Reset, Arguments::None },
        { "STATUS", StatementKind::Status, Arguments::None },
        { "PAUSE", StatementKind::Pause, Arguments::Rest },
        { "RESUME", StatementKind::Resume, Arguments::None },
        { "DEMOTE", StatementKind::Demote, Arguments::Rest },
        { "BEGIN", StatementKind::Begin, Arguments::None },
    } };

    absl::Status invalid(const char* what) { return absl::InvalidArgumentError(what); }

    /// Takes the bytes up to the first blank, and removes them and the blank.
    std::string_view takeWord(std::string_view& text)
    {
        const size_t blank = text.find(' ');
        const std::string_view word = text.substr(0, blank);
        text.remove_prefix(blank == std::string_view::npos ? text.size() : blank + 1);
        return word;
    }

    absl::StatusOr<Statement> parsePrepare(std::string_view rest, Statement statement)
    {
        statement.name = takeWord(rest);
        const std::string_view access = takeWord(rest);
        if (access != "READ" && access != "WRITE")
            return invalid("PREPARE has neither READ nor WRITE");
        statement.kind = access == "READ" ? StatementKind::PrepareRead : StatementKind::PrepareWrite;
        statement.rest = rest;
        if (statement.name.empty() || statement.rest.empty())
            return invalid("PREPARE has too few fields");
        return statement;
    }

    absl::StatusOr<Statement> parseForm(const Form& form, std::string_view rest, Statement statement)
    {
        statement.kind = form.kind;
        if (form.arguments == Arguments::Name)
            statement.name = rest;
        if (form.arguments == Arguments::NameAndRest)
            statement.name = takeWord(rest);
        if (form.arguments == Arguments::NameAndRest || form.arguments == Arguments::Rest)
            statement.rest = rest;
        if (form.arguments == Arguments::None && !rest.empty())
            return invalid("a statement has too many fields");
        const bool needsName = form.arguments == Arguments::Name || form.arguments == Arguments::NameAndRest;
        if ((needsName && statement.name.empty()) || (form.arguments == Arguments::Rest && statement.rest.empty()))
            return invalid("a statement has too few fields");
        return statement;
    }

}

absl::StatusOr<Statement> parseStatement(std::string_view text)
{
    Statement statement;
    std::string_view rest = text;
    std::string_view word = takeWord(rest);
    if (word == "AFTER") {
        statement.after = takeWord(rest);
        text = rest;
        word = takeWord(rest);
        // An EXECUTE may be a read; only its back end knows.
        if (word != "READ" && word != "EXECUTE" && word != "BEGIN")
            return invalid("AFTER precedes no READ, EXECUTE or BEGIN");
    }
    statement.text = text;
    if (word == "PREPARE")
        return parsePrepare(rest, std::move(statement));
    if (word == "BEGIN" && rest == "READ") {
        statement.kind = StatementKind::BeginRead;
        return statement;
    }
    const auto* form = std::find_if(forms.begin(), forms.end(), [word](const Form& it) { return it.word == word; });
    return form == forms.end() ? invalid("a query has an unknown text") : parseForm(*form, rest, std::move(statement));
}

}
