#pragma once

#include "configuration/Configuration.h"

#include <functional>
#include <string_view>

namespace parsleypaddle {

/// Sends datagrams to other daemons and receives theirs. A datagram may be lost, delayed or repeated.
class DatagramPort {
public:
    using Receiver = std::function<void(const TargetAddress& from, std::string_view payload)>;

    /// Longest payload, in bytes, that is sent without fragmentation.
    static constexpr size_t maxPayloadBytes = 1400;

    virtual ~DatagramPort() = default;

    /// Sends the payload, which begins with the name of its protocol and a blank. Failures are not reported.
    virtual void send(const TargetAddress& to, std::string_view payload) = 0;

    /// Sets the receiver of the payloads of one protocol. It gets them without the protocol's name and the blank.
    virtual void setReceiver(std::string_view protocol, Receiver) = 0;
};

}
