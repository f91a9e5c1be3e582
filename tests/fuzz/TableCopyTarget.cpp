#include "distribution/TableCopy.h"
#include "tests/fuzz/FuzzTargets.h"
#include "tests/fuzz/WireInput.h"

#include <algorithm>

namespace parsleypaddle::fuzz {

namespace {

    constexpr size_t keyCount = 16;

    /// The table at the platform, whose versions grow with each change.
    class PlatformTable {
    public:
        void write(size_t key, std::string value)
        {
            m_version = m_version.next();
            const std::string name = "key-" + std::to_string(key % keyCount);
            const bool isDeleted = value.empty();
            m_rows[name] = { "control", name, std::move(value), m_version, isDeleted };
        }

        /// Returns from a copy: the numbers begin anew.
        void beginEra()
        {
            m_version = RowVersion(m_version.era().next(), 1);
            m_rows.clear();
        }

        RowsAnswer wholeTable() const
        {
            RowsAnswer answer = changesAfter(RowVersion());
            answer.rows.erase(std::remove_if(answer.rows.begin(), answer.rows.end(), [](const StoredRow& it) { return it.isDeleted; }), answer.rows.end());
            return answer;
        }

        RowsAnswer changesAfter(RowVersion after) const
        {
            RowsAnswer answer;
            answer.version = m_version;
            answer.platformTime = Instant(static_cast<double>(m_version.value()));
            for (const auto& [key, row] : m_rows) {
                if (row.version > after)
                    answer.rows.push_back(row);
            }
            return answer;
        }

    private:
        RowVersion m_version { firstEra, 1 };
        std::map<std::string, StoredRow> m_rows;
    };

    bool hasSameRows(const RowsAnswer& a, const RowsAnswer& b)
    {
        const auto isSame = [](const StoredRow& x, const StoredRow& y) { return x.key == y.key && x.value == y.value && x.version == y.version && !x.isDeleted && !y.isDeleted; };
        return std::equal(a.rows.begin(), a.rows.end(), b.rows.begin(), b.rows.end(), isSame);
    }

    /// A subscriber asks a source for what it lacks.
    void follow(TableCopy& subscriber, const TableCopy& source)
    {
        if (!source.isComplete() || (subscriber.isComplete() && source.version() < subscriber.version()))
            return;
        const bool isOtherEra = source.version().era() != subscriber.version().era();
        const RowsAnswer changes = source.changesAfter(subscriber.version());
        if (!subscriber.isComplete() || isOtherEra || changes.isHistoryLost)
            expect(subscriber.setAll(source.wholeTable()), "a newer table replaces an older one");
        else
            subscriber.applyChanges(changes);
        expect(subscriber.version() == source.version(), "a subscriber has its source's version");
        expect(hasSameRows(subscriber.wholeTable(), source.wholeTable()), "a subscriber has its source's rows");
    }

    /// Two daemons that follow the platform, and one that subscribes to either.
    struct Fleet {
        PlatformTable platform;
        TableCopy sources[2];
        TableCopy subscriber;
        /// Answers that arrive late.
        RowsAnswer lateTable;
        RowsAnswer lateChanges[2];
    };

    void readWhole(Fleet& fleet, size_t argument)
    {
        TableCopy& source = fleet.sources[argument % 2];
        source.setAll(fleet.platform.wholeTable());
        expect(hasSameRows(source.wholeTable(), fleet.platform.wholeTable()), "a source that reads the table has the platform's rows");
    }

    void readChanges(Fleet& fleet, size_t argument)
    {
        TableCopy& source = fleet.sources[argument % 2];
        const bool isSameEra = source.isComplete() && source.version().era() == fleet.platform.wholeTable().version.era();
        source.applyChanges(fleet.platform.changesAfter(source.version()));
        expect(!isSameEra || hasSameRows(source.wholeTable(), fleet.platform.wholeTable()), "a source that reads the changes has the platform's rows");
    }

    void deliverLate(Fleet& fleet, size_t argument)
    {
        TableCopy& source = fleet.sources[argument % 2];
        const RowVersion before = source.version();
        source.setAll(fleet.lateTable);
        source.applyChanges(fleet.lateChanges[argument % 2]);
        expect(source.version() >= before, "a copy does not return to an older version");
    }

    void write(Fleet& fleet, size_t argument) { fleet.platform.write(argument, "value-" + std::to_string(argument)); }
    void remove(Fleet& fleet, size_t argument) { fleet.platform.write(argument, ""); }
    void beginEra(Fleet& fleet, size_t) { fleet.platform.beginEra(); }
    void subscribe(Fleet& fleet, size_t argument) { follow(fleet.subscriber, fleet.sources[argument % 2]); }

    void keepAnswers(Fleet& fleet, size_t argument)
    {
        fleet.lateTable = fleet.platform.wholeTable();
        fleet.lateChanges[argument % 2] = fleet.platform.changesAfter(fleet.sources[argument % 2].version());
    }
    void removeMany(Fleet& fleet, size_t argument)
    {
        constexpr size_t manyKeys = 700;
        TableCopy& source = fleet.sources[argument % 2];
        RowsAnswer answer = fleet.platform.changesAfter(source.version());
        for (size_t n = 0; n < manyKeys; ++n)
            answer.rows.push_back({ "control", "removed-" + std::to_string(n), "", answer.version, true });
        source.applyChanges(answer);
    }

}

// Each pair of bytes is one step and its argument.
void fuzzTableCopy(std::string_view input)
{
    static constexpr void (*steps[])(Fleet&, size_t) { write, write, remove, readWhole, readChanges, subscribe, subscribe, keepAnswers, deliverLate, beginEra, removeMany };
    constexpr size_t mostBytes = 512;
    Fleet fleet;
    for (size_t at = 0; at < std::min(input.size(), mostBytes); at += 2)
        steps[byteAt(input, at) % std::size(steps)](fleet, byteAt(input, at + 1));
}

}
