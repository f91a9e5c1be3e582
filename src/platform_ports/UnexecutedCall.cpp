#include "platform_ports/UnexecutedCall.h"

#include "base/ResultCode.h"

#include <absl/strings/cord.h>

namespace parsleypaddle {

namespace {

    constexpr absl::string_view payloadUrl = "parsleypaddle/unexecuted-call";

}

absl::Status makeUnexecutedCallError(std::string_view message)
{
    absl::Status status = makeError(ResultCode::PlatformUnavailable, message);
    status.SetPayload(payloadUrl, absl::Cord());
    return status;
}

bool isUnexecutedCall(const absl::Status& status)
{
    return status.GetPayload(payloadUrl).has_value();
}

}
