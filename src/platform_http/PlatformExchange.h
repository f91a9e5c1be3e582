#pragma once

#include "base/Time.h"
#include "platform_http/TransferDeadline.h"

#include <Poco/Net/NameValueCollection.h>
#include <absl/status/statusor.h>
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

/// Sends the request and waits for the response; blocks. `timeout` limits each wait for the socket. Counts the bytes of the response's
/// body. PlatformUnavailable when there is none in time.
absl::StatusOr<PlatformResponse> exchangeWithPlatform(const std::string& host, uint16_t port, Milliseconds timeout, const PlatformRequest&, ReceivedBytes&);

}
