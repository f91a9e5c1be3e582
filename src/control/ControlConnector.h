#pragma once

#include "control/ControlTypes.h"

#include <atomic>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <vector>

struct MHD_Daemon;
struct MHD_Connection;

namespace parsleypaddle {

/// Takes JSON-RPC messages over HTTP from those who show an accepted key. The library's own connector listens at every
/// address, bounds no message and does not show the headers.
class ControlConnector final : public jsonrpc::AbstractServerConnector {
public:
    ControlConnector(ControlAddress, std::vector<std::string> keys);
    ~ControlConnector() override;

    bool StartListening() override; // NOLINT(readability-identifier-naming)
    bool StopListening() override; // NOLINT(readability-identifier-naming)
    bool SendResponse(const std::string& response, void* message) override; // NOLINT(readability-identifier-naming)

    uint16_t port() const { return m_port; }
    uint64_t refusedKeys() const { return m_refusedKeys; }
    const std::string& error() const { return m_error; }

private:
    struct Message;
    class Callbacks;

    void handle(Message&);
    bool hasAcceptedKey(MHD_Connection*) const;

    ControlAddress m_address;
    std::vector<std::string> m_keys;
    MHD_Daemon* m_daemon { nullptr };
    uint16_t m_port { 0 };
    std::atomic<uint64_t> m_refusedKeys { 0 };
    std::string m_error;
};

}
