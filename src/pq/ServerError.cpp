#include "pq/ServerError.h"

#include "base/ResultCode.h"

#include <absl/strings/strip.h>
#include <array>
#include <string_view>

namespace parsleypaddle {

namespace {

    constexpr std::string_view ranBeforeState = "PP006";

    struct CodeOfState {
        std::string_view state;
        ResultCode code;
    };

    constexpr std::array<CodeOfState, 6> codesOfStates { {
        { "PP001", ResultCode::TermChanged },
        { "PP002", ResultCode::NoPrimary },
        { "PP003", ResultCode::TargetBehind },
        { "PP004", ResultCode::RequestSettled },
        { "PP005", ResultCode::RequestIdReused },
        { "PP007", ResultCode::TargetLeaving },
    } };

    std::string_view fieldOf(const PGresult* result, int field)
    {
        const char* text = PQresultErrorField(result, field);
        return text ? text : "";
    }

    ResultCode codeOf(std::string_view state)
    {
        for (const auto& it : codesOfStates) {
            if (it.state == state)
                return it.code;
        }
        return ResultCode::StatementFailed;
    }

}

bool isRanBefore(const PGresult* result)
{
    return fieldOf(result, PG_DIAG_SQLSTATE) == ranBeforeState;
}

// An error that libpq made up itself, such as a lost connection, has no SQLSTATE.
bool endsConnection(const PGresult* result)
{
    const std::string_view severity = fieldOf(result, PG_DIAG_SEVERITY_NONLOCALIZED);
    return fieldOf(result, PG_DIAG_SQLSTATE).empty() || severity == "FATAL" || severity == "PANIC";
}

absl::Status errorOf(const PGresult* result)
{
    return makeError(codeOf(fieldOf(result, PG_DIAG_SQLSTATE)), fieldOf(result, PG_DIAG_MESSAGE_PRIMARY));
}

}
