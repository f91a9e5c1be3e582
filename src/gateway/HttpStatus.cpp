#include "gateway/HttpStatus.h"

#include <array>
#include <microhttpd.h>

namespace parsleypaddle {

namespace {

    struct StatusOfCode {
        ResultCode code;
        unsigned status;
    };

    constexpr std::array<StatusOfCode, 12> specificStatuses { {
        { ResultCode::TooLarge, MHD_HTTP_CONTENT_TOO_LARGE },
        { ResultCode::InputTooSlow, MHD_HTTP_REQUEST_TIMEOUT },
        { ResultCode::UnknownResource, MHD_HTTP_NOT_FOUND },
        { ResultCode::UnknownDatabase, MHD_HTTP_NOT_FOUND },
        { ResultCode::RequestExpired, MHD_HTTP_CONFLICT },
        { ResultCode::RequestIdReused, MHD_HTTP_CONFLICT },
        { ResultCode::RequestSettled, MHD_HTTP_CONFLICT },
        { ResultCode::StatementFailed, MHD_HTTP_UNPROCESSABLE_CONTENT },
        { ResultCode::KeyRefused, MHD_HTTP_UNAUTHORIZED },
        { ResultCode::ConfigurationInvalid, MHD_HTTP_BAD_REQUEST },
        { ResultCode::ConfigurationConflict, MHD_HTTP_CONFLICT },
        { ResultCode::ReasonMissing, MHD_HTTP_BAD_REQUEST },
    } };

    constexpr unsigned firstRoutingCode = 2200;
    constexpr unsigned firstTransactionCode = 2400;
    constexpr unsigned firstStatementCode = 2500;

    unsigned statusOfNotRun(unsigned code)
    {
        if (code < firstRoutingCode)
            return MHD_HTTP_BAD_REQUEST;
        if (code >= firstTransactionCode && code < firstStatementCode)
            return MHD_HTTP_CONFLICT;
        return MHD_HTTP_SERVICE_UNAVAILABLE;
    }

}

unsigned httpStatusOf(ResultCode code)
{
    for (const auto& it : specificStatuses) {
        if (it.code == code)
            return it.status;
    }
    switch (outcomeOf(code)) {
    case Outcome::Done:
        return MHD_HTTP_OK;
    case Outcome::NotRun:
        return statusOfNotRun(static_cast<unsigned>(code));
    case Outcome::Unknown:
        return MHD_HTTP_GATEWAY_TIMEOUT;
    }
    return MHD_HTTP_INTERNAL_SERVER_ERROR;
}

}
