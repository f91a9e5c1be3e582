#pragma once

#include "net/DatagramPort.h"

#include <map>
#include <string>

namespace parsleypaddle {

/// The receivers of a port by the name of their protocol. Datagrams of other protocols are dropped.
class DatagramReceivers {
public:
    void set(std::string_view protocol, DatagramPort::Receiver receiver) { m_receivers[std::string(protocol)] = std::move(receiver); }

    void dispatch(const TargetAddress& from, std::string_view payload) const
    {
        const size_t blank = payload.find(' ');
        if (blank == std::string_view::npos)
            return;
        auto it = m_receivers.find(std::string(payload.substr(0, blank)));
        if (it != m_receivers.end() && it->second)
            it->second(from, payload.substr(blank + 1));
    }

private:
    std::map<std::string, DatagramPort::Receiver> m_receivers;
};

}
