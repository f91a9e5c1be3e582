#include "tool/ExitCode.h"

#include <array>

namespace parsleypaddle {

namespace {

    struct ExitCodeOfResult {
        ResultCode result;
        ExitCode exit;
    };

    constexpr std::array<ExitCodeOfResult, 9> exitCodes { {
        { ResultCode::ConfigurationInvalid, ExitCode::InvalidDocument },
        { ResultCode::ReasonMissing, ExitCode::InvalidDocument },
        { ResultCode::ConfigurationConflict, ExitCode::Conflict },
        { ResultCode::PeerUnreachable, ExitCode::NoDaemon },
        { ResultCode::PeerSilent, ExitCode::NoDaemon },
        { ResultCode::KeyRefused, ExitCode::KeyRefused },
        { ResultCode::OutcomeUnknown, ExitCode::OutcomeUnknown },
        { ResultCode::UnknownResource, ExitCode::NotFound },
        { ResultCode::PlatformUnavailable, ExitCode::PlatformUnavailable },
    } };

}

ExitCode exitCodeOf(ResultCode code)
{
    if (code == ResultCode::Done)
        return ExitCode::Done;
    for (const auto& it : exitCodes) {
        if (it.result == code)
            return it.exit;
    }
    return ExitCode::OtherError;
}

}
