#pragma once

#include "net/DatagramReceivers.h"
#include "net/PollLoop.h"

#include <Poco/Net/DatagramSocket.h>
#include <absl/status/statusor.h>
#include <memory>

namespace parsleypaddle {

/// A UDP port on the loop.
class UdpPort final : public DatagramPort {
public:
    /// Returns an error if the address cannot be bound.
    static absl::StatusOr<std::unique_ptr<UdpPort>> create(PollLoop&, const std::string& host, uint16_t port);
    ~UdpPort() override;

    void send(const TargetAddress& to, std::string_view payload) override;
    void setReceiver(std::string_view protocol, Receiver receiver) override { m_receivers.set(protocol, std::move(receiver)); }

private:
    UdpPort(PollLoop&, const Poco::Net::DatagramSocket&);

    void receive();

    PollLoop& m_loop;
    Poco::Net::DatagramSocket m_socket;
    DatagramReceivers m_receivers;
};

}
