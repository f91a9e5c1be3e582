#include "directory/RoutedRows.h"

#include "base/ResultCode.h"
#include "base/VirtualLoop.h"
#include "directory/TableWatch.h"
#include "directory/WatchTimes.h"
#include "platform_ports/FakeRows.h"

#include <catch2/catch.hpp>
#include <set>

using namespace parsleypaddle;

namespace {

constexpr const char* platformHost = "platform";
constexpr const char* table = "configuration";

/// Paths to one platform, of which some are silent. Calls over those are answered with an error when they time out.
class FakePaths final : public PathRows {
public:
    explicit FakePaths(VirtualLoop& loop)
        : tables(loop)
        , m_loop(loop)
        , m_rows(loop, tables)
    {
    }

    void readAll(const Path& path, const std::string& name, PlatformRows::RowsDone done) override
    {
        if (count(path))
            m_rows.readAll(name, std::move(done));
        else
            fail<RowsAnswer>(platformCallTimeout, std::move(done));
    }

    // A path that falls silent takes the watches with it that wait on it.
    void watch(const Path& path, const std::string& name, RowVersion after, Milliseconds wait, PlatformRows::RowsDone done) override
    {
        if (!count(path))
            return fail<RowsAnswer>(wait + platformCallTimeout, std::move(done));
        const Instant timeoutAt = m_loop.now() + wait + platformCallTimeout;
        m_rows.watch(name, after, wait, [this, path, timeoutAt, done = std::move(done)](const absl::StatusOr<RowsAnswer>& answer) {
            if (silent.count(path.address.host) == 0)
                return done(answer);
            fail<RowsAnswer>(timeoutAt - m_loop.now(), done);
        });
    }

    void transact(const Path& path, const RowsTransaction& transaction, PlatformRows::TransactionDone done) override
    {
        if (count(path))
            m_rows.transact(transaction, std::move(done));
        else
            fail<TransactionAnswer>(platformCallTimeout, std::move(done));
    }

    void setCallTime(Milliseconds time) { m_rows.callTime = time; }

    FakeTables tables;
    std::set<std::string> silent;
    size_t calls { 0 };

private:
    /// Counts the call. Returns whether the platform answers on the path.
    bool count(const Path& path)
    {
        ++calls;
        return silent.count(path.address.host) == 0;
    }

    template <typename Answer>
    void fail(Milliseconds delay, std::function<void(absl::StatusOr<Answer>)> done)
    {
        m_loop.after(delay, [done = std::move(done)] { done(makeError(ResultCode::PlatformUnavailable, "no answer")); });
    }

    VirtualLoop& m_loop;
    FakeRows m_rows;
};

/// A daemon that follows a table, and writes a row of another one at regular intervals, as the holder of a lease does.
struct Follower {
    explicit Follower(size_t peerCount)
    {
        std::vector<TargetAddress> peers;
        for (size_t n = 0; n < peerCount; ++n)
            peers.push_back({ "peer-" + std::to_string(n), 1 });
        selector.setPeers(std::move(peers));
        rows.onReachedAgain([this](Instant sent) { watch.replaceOlderRequest(sent); });
        paths.tables.put(table, "newest", "1");
        watch.start();
        renew();
    }

    void renew()
    {
        RowsTransaction transaction;
        transaction.writes.push_back({ "leases", "own", "row" });
        rows.transact(transaction, [this](const absl::StatusOr<TransactionAnswer>& answer) {
            renewedAt = loop.now();
            loop.after(answer.ok() ? renewInterval : retryDelay, [this] { renew(); });
        });
    }

    /// Writes the row and returns how long after it the daemon has it.
    Milliseconds delayOf(const std::string& value)
    {
        paths.tables.put(table, "newest", value);
        const Instant writtenAt = loop.now();
        while (newest != value && loop.now() < writtenAt + Milliseconds(20'000))
            loop.advance(Milliseconds(10));
        return loop.now() - writtenAt;
    }

    /// The longest interval between two renewals of a lease.
    static constexpr Milliseconds renewInterval { 2000 };
    static constexpr Milliseconds retryDelay { 250 };
    static constexpr Milliseconds bound { 5000 };

    VirtualLoop loop;
    FakePaths paths { loop };
    PlatformPathSelector selector { { platformHost, 1 }, 0 };
    RoutedRows rows { loop, paths, selector };
    std::string newest;
    Instant renewedAt;
    TableWatch watch { loop, rows, table, watchHoldTime(bound), [this](const TableWatch::Rows& it) { newest = it.at("newest").value; }, [](const absl::Status&) {} };
};

}

// Guards against old configurations in force: each step at its longest, the renewal that shows the silence, a slow platform, and ten peers in a
// row that are not answered either, added up to more than the bound.
TEST_CASE("a change reaches a daemon within its bound although the platform and ten of its peers fall silent just after a renewal", "[directory]")
{
    const auto slowCall = Milliseconds(GENERATE(4, 240));
    Follower daemon(20);
    daemon.loop.advance(Milliseconds(3000));
    daemon.paths.setCallTime(slowCall);
    const Instant before = daemon.renewedAt;
    while (daemon.renewedAt == before)
        daemon.loop.advance(Milliseconds(10));
    daemon.paths.silent.insert(platformHost);
    for (int n = 0; n < 10; ++n)
        daemon.paths.silent.insert("peer-" + std::to_string(n));
    CHECK(daemon.delayOf("2").count() <= Follower::bound.count());
    // From then on the daemon follows the table over the path that it has found.
    CHECK(daemon.delayOf("3").count() <= 2 * slowCall.count() + 100);
}

TEST_CASE("a daemon without peers follows a table again soon after the platform answers again", "[directory]")
{
    const double outage = GENERATE(1000, 2500, 6000, 6300, 6600, 30'000);
    CAPTURE(outage);
    Follower daemon(0);
    daemon.loop.advance(Milliseconds(3000));
    daemon.paths.silent.insert(platformHost);
    daemon.loop.advance(Milliseconds(outage));
    daemon.paths.silent.clear();
    CHECK(daemon.delayOf("2").count() <= 1100);
}

// The silence limit is above the time of a call to a slow platform.
TEST_CASE("a slow platform does not count as silent", "[directory]")
{
    Follower daemon(3);
    daemon.paths.setCallTime(Milliseconds(240));
    daemon.loop.advance(Milliseconds(10'000));
    const size_t before = daemon.paths.calls;
    daemon.paths.silent = { "peer-0", "peer-1", "peer-2" };
    daemon.loop.advance(Milliseconds(30'000));
    // A watch every 3.5 s, and a renewal every 2.2 s.
    CHECK(daemon.paths.calls - before <= 24);
}

TEST_CASE("a daemon whose paths are all silent makes at most six calls a second", "[directory]")
{
    Follower daemon(50);
    daemon.loop.advance(Milliseconds(3000));
    daemon.paths.silent.insert(platformHost);
    for (int n = 0; n < 50; ++n)
        daemon.paths.silent.insert("peer-" + std::to_string(n));
    daemon.loop.advance(Milliseconds(5000));
    const size_t before = daemon.paths.calls;
    constexpr size_t seconds = 30;
    daemon.loop.advance(Milliseconds(seconds * 1000.0));
    CHECK(daemon.paths.calls - before <= 6 * seconds);
}

TEST_CASE("a daemon that follows no table does not look for another path", "[directory]")
{
    VirtualLoop loop;
    FakePaths paths { loop };
    PlatformPathSelector selector { { platformHost, 1 }, 0 };
    selector.setPeers({ { "peer-0", 1 }, { "peer-1", 1 } });
    RoutedRows rows { loop, paths, selector };
    paths.silent = { platformHost };
    bool isAnswered = false;
    rows.readAll(table, [&isAnswered](const absl::StatusOr<RowsAnswer>& answer) { isAnswered = !answer.ok(); });
    loop.advance(Milliseconds(5000));
    CHECK(isAnswered);
    CHECK(paths.calls == 1);
}
