#include "leases/FleetKey.h"

#include "base/VirtualLoop.h"
#include "leases/Epoch.h"
#include "platform_ports/FakeRows.h"
#include "telemetry/DecisionLog.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

struct FleetKeyFixture {
    VirtualLoop loop;
    FakeTables tables { loop };
    FakeRows rows { loop, tables };
    std::string logText;
    DecisionLog log { loop, "one", [this](const std::string& line) { logText += line; } };
    bool mayWrite { true };
    FleetKey first { loop, rows, log, [this] { return mayWrite; }, FleetKey::generate() };
    FleetKey second { loop, rows, log, [this] { return mayWrite; }, FleetKey::generate() };

    void tellRows()
    {
        rows.readAll(controlTable, [this](const absl::StatusOr<RowsAnswer>& answer) {
            REQUIRE(answer.ok());
            std::map<std::string, StoredRow> byKey;
            for (const auto& it : answer->rows)
                byKey[it.key] = it;
            first.setRows(byKey, answer->version);
            second.setRows(byKey, answer->version);
        });
        loop.advance(Milliseconds(2000));
    }
};

}

TEST_CASE("all daemons of a fleet get the same key, and it is in no log line", "[leases]")
{
    FleetKeyFixture fixture;
    CHECK(fixture.first.current().empty());
    CHECK_FALSE(fixture.first.accepts(""));
    fixture.tellRows();
    fixture.tellRows();
    const std::string key = fixture.first.current();
    CHECK(key.size() == 32);
    CHECK(fixture.second.current() == key);
    CHECK(fixture.second.accepts(key));
    CHECK_FALSE(fixture.second.accepts(key.substr(1)));
    CHECK_FALSE(fixture.second.accepts(FleetKey::generate()));
    CHECK(fixture.logText.find(key) == std::string::npos);
}

TEST_CASE("a daemon that may not write waits for the key of another one", "[leases]")
{
    FleetKeyFixture fixture;
    fixture.mayWrite = false;
    fixture.tellRows();
    CHECK(fixture.tables.find(controlTable, "fleet-key") == nullptr);
    fixture.mayWrite = true;
    fixture.loop.advance(Milliseconds(2000));
    CHECK(fixture.tables.find(controlTable, "fleet-key") != nullptr);
}

TEST_CASE("a key that the platform loses in a return from a copy is written again", "[leases]")
{
    FleetKeyFixture fixture;
    const auto copy = fixture.tables.copy();
    fixture.tellRows();
    fixture.tellRows();
    const std::string key = fixture.first.current();
    fixture.tables.restore(copy);
    fixture.tellRows();
    fixture.tellRows();
    REQUIRE(fixture.tables.find(controlTable, "fleet-key"));
    CHECK(*fixture.tables.find(controlTable, "fleet-key") == key);
    CHECK(fixture.first.current() == key);
}

TEST_CASE("a key that another writer has damaged is replaced, and the earlier one still proves a daemon", "[leases]")
{
    FleetKeyFixture fixture;
    fixture.tellRows();
    fixture.tellRows();
    const std::string key = fixture.first.current();
    fixture.tables.put(controlTable, "fleet-key", "\r\nnot a key");
    fixture.tellRows();
    fixture.tellRows();
    CHECK(fixture.first.current() == key);
    fixture.tables.put(controlTable, "fleet-key", FleetKey::generate());
    fixture.tellRows();
    CHECK(fixture.first.current() != key);
    CHECK(fixture.first.accepts(key));
}
