#pragma once

#include "net/PollLoop.h"
#include "net/WorkerPool.h"
#include "platform_http/PlatformCaller.h"
#include "platform_ports/PlatformPorts.h"

namespace parsleypaddle {

struct PlatformRequest;
struct PlatformResponse;

/// Where the platform's service listens, by IP number, and how long one request may take in all.
struct HttpPlatformSettings {
    std::string host;
    uint16_t port { 0 };
    Milliseconds timeout { 1000 };
};

/// The platform's table, objects and instance list over HTTP. docs/PLATFORM.md describes the requests.
/// Calls block a worker, never the loop; answers come on the loop's thread, at the latest after the timeout.
class HttpPlatform final : public PlatformTable, public PlatformObjects, public PlatformInstanceList {
public:
    HttpPlatform(PollLoop&, WorkerPool&, const HttpPlatformSettings&);

    void read(const std::string& key, ReadDone) override;
    void write(const std::string& key, const std::string& value, const std::string& expected, WriteDone) override;
    void get(const std::string& name, GetDone) override;
    void put(const std::string& name, const std::string& body, PutDone) override;
    void list(ListDone) override;

    /// Calls back for each request that failed or went unanswered.
    void onFailure(std::function<void()>);

private:
    using Responded = std::function<void(absl::StatusOr<PlatformResponse>)>;

    void send(PlatformRequest, Responded);

    PlatformCaller m_caller;
    HttpPlatformSettings m_settings;
    std::shared_ptr<std::function<void()>> m_onFailure;
    /// The list as it was last read, with its etag: it is long and seldom changes.
    PlatformList m_list;
    std::string m_listEtag;
};

}
