#include "daemon/SeedPeer.h"

#include "base/ResultCode.h"
#include "control/ControlClient.h"
#include "operations/DaemonStatus.h"
#include "statements/JsonText.h"

namespace parsleypaddle {

namespace {

    constexpr double timeoutMilliseconds = 1000;

}

absl::StatusOr<PlatformList> askSeedPeer(const Endpoint& control, const std::string& key)
{
    const ControlResult result = ControlClient::call({ control.host, control.port }, key, "status", "{}", timeoutMilliseconds);
    if (!result.isOk)
        return makeError(ResultCode::PeerUnreachable, result.error);
    const auto value = parseJsonObject(result.body);
    if (!value.ok())
        return value.status();
    auto status = daemonStatusFromJson(*value);
    if (!status.ok())
        return status.status();
    PlatformList list;
    list.instances = std::move(status->instances);
    return list;
}

}
