#pragma once

#include "base/EventLoop.h"
#include "platform_ports/PlatformPorts.h"

#include <deque>
#include <map>
#include <memory>

namespace parsleypaddle {

/// How the fake platform answers.
struct FakePlatformSettings {
    /// From a request to its answer; the effect comes half way.
    Milliseconds delay { 4 };
    /// How long a client waits before it gives up.
    Milliseconds timeout { 1000 };
    /// How old the list of instances is.
    Milliseconds listLag { 3000 };
};

/// What the fake platform carried out.
struct FakePlatformCounts {
    uint64_t reads { 0 };
    uint64_t writes { 0 };
};

/// The platform's table, object store and instance list in memory, with faults that tests switch.
class FakePlatform {
public:
    FakePlatform(EventLoop&, const FakePlatformSettings&);
    ~FakePlatform();

    class Client;

    /// The ports as one daemon sees them; they must not outlive the platform.
    std::unique_ptr<Client> connect();

    /// No request reaches it.
    void setDown(bool);
    void setDelay(Milliseconds);
    /// The next write takes effect, and its answer never comes.
    void loseNextWriteAnswer();
    /// The next write is held back and takes effect after `delay`; its client has given up by then if that is long.
    void delayNextWrite(Milliseconds delay);

    void setList(PlatformList);

    /// The row as it stands, outside of all faults.
    std::optional<TableRow> row(const std::string& key) const;
    /// Puts a row outside of all conditions, as a restore from a backup would.
    void forceRow(const std::string& key, const std::string& value);

    const FakePlatformCounts& counts() const { return m_counts; }

private:
    friend class Client;

    struct DatedList {
        Instant at;
        PlatformList list;
    };

    PlatformList listAsOf(Instant) const;
    TableRow store(const std::string& key, const std::string& value);

    EventLoop& m_loop;
    FakePlatformSettings m_settings;
    FakePlatformCounts m_counts;
    bool m_isDown { false };
    bool m_losesNextWriteAnswer { false };
    Milliseconds m_nextWriteDelay;
    uint64_t m_lastEtag { 0 };
    std::map<std::string, TableRow> m_rows;
    std::map<std::string, std::string> m_objects;
    std::deque<DatedList> m_lists;
};

/// One daemon's way to the fake platform.
class FakePlatform::Client final : public PlatformTable, public PlatformObjects, public PlatformInstanceList {
public:
    explicit Client(FakePlatform&);

    void read(const std::string& key, ReadDone) override;
    void write(const std::string& key, const std::string& value, const std::string& expected, WriteDone) override;
    void get(const std::string& name, GetDone) override;
    void put(const std::string& name, const std::string& body, PutDone) override;
    void list(ListDone) override;

    /// Cuts this daemon alone off from the platform.
    void setCut(bool);

private:
    template <typename T>
    void call(std::function<void(absl::StatusOr<T>)>, std::function<absl::StatusOr<T>()> effect, bool isWrite);

    FakePlatform& m_platform;
    std::shared_ptr<bool> m_isCut;
};

}
