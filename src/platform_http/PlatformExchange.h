#pragma once

#include "base/Time.h"
#include "platform_http/TransferDeadline.h"

#include <Poco/Net/NameValueCollection.h>
#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace parsleypaddle {

/// One HTTP request to the platform.
struct PlatformRequest {
    std::string method;
    std::string path;
    std::string body;
    /// Beside those that every request has.
    std::vector<std::pair<std::string, std::string>> headers;
};

/// The platform's response.
struct PlatformResponse {
    int status { 0 };
    std::string etag;
    std::string body;
    /// All header fields; their names are compared without regard to case.
    Poco::Net::NameValueCollection headers;
};

/// What is left of the time of a call; not above 0 once it is withdrawn. Called on the thread of the call.
using TimeLeft = std::function<Milliseconds()>;

/// Sends the request and waits for the response; blocks. Each wait for the socket lasts no longer than the time that is left. A call whose
/// time is over before the request is sent is not sent. One that ends without a whole response is reset, so that what was not delivered
/// by then does not arrive any more. Counts the bytes of the response's body. PlatformUnavailable when there is none in time;
/// isUnexecutedCall() is true of it if no byte of the request was written.
absl::StatusOr<PlatformResponse> exchangeWithPlatform(const std::string& host, uint16_t port, const TimeLeft&, const PlatformRequest&, ReceivedBytes&);

}
