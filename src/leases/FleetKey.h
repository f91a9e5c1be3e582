#pragma once

#include "base/EventLoop.h"
#include "platform_ports/PlatformPorts.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypaddle {

class DecisionLog;

/// The secret by which daemons of a fleet prove themselves to each other. It is a row of the platform's control table, which callers
/// cannot read; the first daemon that finds none writes it. It is in no log line.
class FleetKey {
public:
    /// `mayWrite`: whether this daemon may write the row. `proposed`: the key that it writes if there is none, as made by generate().
    FleetKey(EventLoop&, PlatformRows&, DecisionLog&, std::function<bool()> mayWrite, std::string proposed);
    ~FleetKey();

    FleetKey(const FleetKey&) = delete;
    FleetKey& operator=(const FleetKey&) = delete;

    /// A new random key.
    static std::string generate();

    /// Applies the rows of the control table, and begins to write the row if it is missing or malformed.
    void setRows(const std::map<std::string, StoredRow>&, RowVersion asOf);

    /// The key to present; empty while none is known.
    std::string current() const { return m_keys.empty() ? std::string() : m_keys.back(); }
    /// Whether the key proves a daemon of this fleet. Earlier keys do so too: the row may be lost in a return from a copy, and daemons hear
    /// of the next one at different times.
    bool accepts(const std::string&) const;

private:
    void writeSoon();
    void write();

    EventLoop& m_loop;
    PlatformRows& m_platform;
    DecisionLog& m_log;
    std::function<bool()> m_mayWrite;
    std::string m_proposed;
    /// The keys that the row has held, the present one last.
    std::vector<std::string> m_keys;
    /// The version that the row must have to be replaced; unset while the row holds a key.
    std::optional<RowVersion> m_replaceable;
    TimerId m_timer { TimerId::None };
    std::shared_ptr<bool> m_alive { std::make_shared<bool>(true) };
};

}
