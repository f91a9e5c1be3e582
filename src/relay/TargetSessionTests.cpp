#include "relay/RelayFixture.h"

#include <catch2/catch.hpp>
#include <random>

using namespace parsleypaddle;

// What callers prepare and set applies to their own statements at the targets, on connections that they share (review/6).

namespace {

/// A caller that keeps what it has prepared and set, as far as it was acknowledged, for each statement that it sends.
class RecordingCaller {
public:
    struct Sent {
        std::string definition;
        std::map<std::string, std::string> values;
    };

    RecordingCaller(RelayFixture& scene, const std::string& database, std::string name, CallerKind kind = CallerKind::Caller)
        : m_caller(scene.relay, database, name, kind)
        , m_name(std::move(name))
    {
    }

    void prepare(const std::string& name, const std::string& definition)
    {
        send(RelayKind::Prepare, name, definition);
        if (isAcknowledged())
            m_prepared[name] = definition;
    }

    void set(const std::string& name, const std::string& value)
    {
        send(RelayKind::SetValue, name, value);
        if (isAcknowledged())
            m_values[name] = value;
    }

    /// Clears what was prepared and set, as a daemon does that forwards statements of several callers.
    void reset()
    {
        send(RelayKind::Reset);
        if (!isAcknowledged())
            return;
        m_prepared.clear();
        m_values.clear();
    }

    void execute(const std::string& name)
    {
        const auto it = m_prepared.find(name);
        m_sent[nextId()] = { it == m_prepared.end() ? "" : it->second, m_values };
        send(RelayKind::Execute, name);
    }

    void commit()
    {
        m_sent[nextId()] = { "", m_values };
        send(RelayKind::Commit);
    }

    void send(RelayKind kind, const std::string& name = "", const std::string& argument = "")
    {
        RelayStep step;
        step.kind = kind;
        step.id = nextId();
        step.text = kind == RelayKind::Execute ? "EXECUTE " + name : step.id.value();
        step.name = name;
        step.argument = argument;
        step.isWrite = argument.substr(0, 5) == "WRITE";
        ++m_statements;
        m_caller.session().runOrQueue(std::move(step));
    }

    /// Checks the statements of this caller that ran.
    void check(const RelayFixture& scene) const
    {
        for (const auto& it : scene.targets.executed) {
            const auto sent = m_sent.find(it.id);
            if (sent == m_sent.end())
                continue;
            CAPTURE(it.id.value(), it.connection);
            CHECK(it.definition == sent->second.definition);
            CHECK(it.values == sent->second.values);
        }
    }

    bool isAnswered() const { return m_caller.answers.size() == m_statements; }
    const RelayAnswer& last() const { return m_caller.last(); }

private:
    StatementId nextId() const { return StatementId(m_name + "-" + std::to_string(m_statements)); }
    /// The daemon answers statements at once that change only the session.
    bool isAcknowledged() const { return isAnswered() && m_caller.last().error == RelayError::None; }

    TestCaller m_caller;
    std::string m_name;
    size_t m_statements { 0 };
    std::map<std::string, std::string> m_prepared;
    std::map<std::string, std::string> m_values;
    std::map<StatementId, Sent> m_sent;
};

/// Executes statements with so many different definitions on the connection to the primary, which is the only one.
void executeDefinitions(RelayFixture& scene, RecordingCaller& caller, int n)
{
    for (int it = 0; it < n; ++it) {
        caller.prepare("s", "WRITE shape-" + std::to_string(it));
        caller.execute("s");
        scene.run(50);
        REQUIRE(caller.last().error == RelayError::None);
    }
}

/// Runs random operations of several callers, one statement at a time each.
class RandomCallers {
public:
    RandomCallers(RelayFixture& scene, unsigned seed)
        : m_scene(scene)
        , m_random(seed)
        , m_useVariables(seed % 4 < 2)
    {
        for (const char* database : { "orders", "prices", "proofs" }) {
            for (const CallerKind kind : { CallerKind::Caller, CallerKind::Caller, CallerKind::Peer })
                addCaller(database, kind);
        }
    }

    void step()
    {
        auto& caller = *m_callers[draw(m_callers.size())];
        if (!caller.isAnswered())
            return;
        const std::string name = "s" + std::to_string(draw(6));
        if (caller.last().state == TransactionState::Failed)
            return caller.send(RelayKind::Rollback);
        const bool isOpen = caller.last().state == TransactionState::Open;
        switch (draw(isOpen ? 8 : 10)) {
        case 0:
        case 5:
            return caller.prepare(name, (draw(2) == 0 ? "WRITE shape-" : "READ shape-") + std::to_string(draw(200)));
        case 1:
            return m_useVariables && draw(3) == 0 ? caller.set("v" + std::to_string(draw(3)), std::to_string(draw(3))) : caller.execute(name);
        case 2:
            return caller.send(isOpen ? RelayKind::Rollback : RelayKind::Begin);
        case 3:
            return isOpen ? caller.commit() : caller.execute(name);
        case 4:
            return draw(4) == 0 ? caller.reset() : caller.execute(name);
        case 8:
            return caller.send(RelayKind::Begin);
        default:
            return caller.execute(name);
        }
    }

    void replaceCaller()
    {
        const size_t n = draw(m_callers.size());
        m_gone.push_back(std::move(m_callers[n]));
        m_callers.erase(m_callers.begin() + static_cast<std::ptrdiff_t>(n));
        addCaller("orders", CallerKind::Caller);
    }

    void check() const
    {
        for (const auto* callers : { &m_callers, &m_gone }) {
            for (const auto& it : *callers)
                it->check(m_scene);
        }
    }

    size_t draw(size_t n) { return m_random() % n; }

private:
    void addCaller(const std::string& database, CallerKind kind)
    {
        m_callers.push_back(std::make_unique<RecordingCaller>(m_scene, database, "caller-" + std::to_string(++m_lastCaller), kind));
        m_callers.back()->prepare("s0", "WRITE shape-" + std::to_string(m_lastCaller));
    }

    RelayFixture& m_scene;
    std::mt19937 m_random;
    /// Variables of other callers make a connection's session begin anew, so that it holds few prepared statements.
    bool m_useVariables;
    std::vector<std::unique_ptr<RecordingCaller>> m_callers;
    std::vector<std::unique_ptr<RecordingCaller>> m_gone;
    size_t m_lastCaller { 0 };
};

}

// Guards against writes that run as another caller's prepared statement: a transaction was ended because its connection held too many
// prepared statements, and the connection went on with a record of statements that were never sent.
TEST_CASE("a transaction on a connection with many prepared statements runs its caller's own, as do those after it", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    RecordingCaller first(scene, "orders", "first");
    executeDefinitions(scene, first, 64);
    RecordingCaller second(scene, "orders", "second");
    second.prepare("a", "WRITE new-a");
    second.prepare("b", "WRITE new-b");
    second.send(RelayKind::Begin);
    for (const char* it : { "a", "b" }) {
        second.execute(it);
        scene.run(50);
        CHECK(second.last().error == RelayError::None);
    }
    second.commit();
    scene.run(50);
    CHECK(second.last().error == RelayError::None);
    RecordingCaller third(scene, "orders", "third");
    third.prepare("b", "WRITE new-b");
    third.execute("b");
    scene.run(50);
    third.check(scene);
    first.check(scene);
    second.check(scene);
}

// Guards against callers that are refused because of what a connection holds: their own statements are more than a connection keeps.
TEST_CASE("a transaction may use more prepared statements than a connection keeps", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    RecordingCaller caller(scene, "orders", "caller");
    for (int it = 0; it < 100; ++it)
        caller.prepare("s" + std::to_string(it), "WRITE shape-" + std::to_string(it));
    caller.send(RelayKind::Begin);
    for (int it = 0; it < 200; ++it) {
        caller.execute("s" + std::to_string(it % 100));
        scene.run(50);
        REQUIRE(caller.last().error == RelayError::None);
    }
    caller.commit();
    scene.run(50);
    CHECK(caller.last().error == RelayError::None);
    CHECK(scene.targets[TargetId("one")].mostPreparedStatements <= 64);
    caller.check(scene);
}

// Guards against a record of a connection that runs ahead of the connection: the target refuses a step of the preparation.
TEST_CASE("statements run as their callers prepared them after a target has refused to prepare one", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    RecordingCaller first(scene, "orders", "first");
    executeDefinitions(scene, first, 3);
    const bool isInTransaction = GENERATE(false, true);
    CAPTURE(isInTransaction);
    first.prepare("new", "WRITE new");
    first.set("zone", "west");
    if (isInTransaction)
        first.send(RelayKind::Begin);
    scene.targets[TargetId("one")].refusedSessionChanges = 1;
    first.execute("new");
    scene.run(100);
    if (isInTransaction)
        first.send(RelayKind::Rollback);
    scene.run(100);
    RecordingCaller second(scene, "orders", "second");
    second.prepare("a", "WRITE new");
    second.prepare("b", "WRITE shape-1");
    for (const char* it : { "a", "b", "a" }) {
        second.execute(it);
        scene.run(50);
        CHECK(second.last().error == RelayError::None);
    }
    first.check(scene);
    second.check(scene);
}

// Guards against a transaction that is said to be rolled back although its COMMIT, sent behind a step that was refused, has run.
TEST_CASE("a commit is not sent when the target refuses the variable that has to be set before it", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    RecordingCaller caller(scene, "orders", "caller");
    caller.prepare("s", "WRITE shape");
    caller.send(RelayKind::Begin);
    caller.execute("s");
    scene.run(50);
    caller.set("zone", "west");
    scene.targets[TargetId("one")].refusedSessionChanges = 1;
    caller.commit();
    scene.run(100);
    CHECK(caller.last().error == RelayError::Aborted);
    CHECK(scene.targets.committed.empty());
    CHECK(scene.primaryFailures == 0);
    caller.check(scene);
}

// Guards against a statement that is refused again and again because its connection has lost it.
TEST_CASE("a statement that a connection has lost runs on another one", "[relay]")
{
    RelayFixture scene;
    scene.relay.setConnectionShare(1.0 / 9);
    RecordingCaller caller(scene, "orders", "caller");
    executeDefinitions(scene, caller, 2);
    auto& target = scene.targets[TargetId("one")];
    target.forgetfulConnections = target.openConnections;
    caller.execute("s");
    scene.run(100);
    CHECK(caller.last().error == RelayError::None);
    CHECK(scene.primaryFailures == 0);
    caller.check(scene);
}

// Guards against statements of one caller that run with the definitions or variables of another one.
TEST_CASE("under random faults every statement runs as its own caller prepared it, with its own variables", "[relay]")
{
    const auto seed = GENERATE(range(1U, 61U));
    CAPTURE(seed);
    RelayFixture scene;
    scene.relay.setConnectionShare(seed % 3 == 0 ? 1.0 : 1.0 / 9);
    RandomCallers callers(scene, seed);
    const std::vector<std::string> names { "one", "two", "three" };
    // With few faults connections live long enough to hold many prepared statements.
    const size_t rarity = seed % 2 == 0 ? 100 : 2000;
    for (int n = 0; n < 5000; ++n) {
        auto& target = scene.targets[TargetId(names[callers.draw(3)])];
        switch (callers.draw(rarity)) {
        case 0:
            target.losesNextAnswer = true;
            break;
        case 1:
            target.isNextOutOfStep = true;
            break;
        case 2:
            target.closedBeforeSending = 1;
            break;
        case 3:
            target.refusedSessionChanges = 1;
            break;
        case 4:
            target.forgetfulConnections = target.openConnections;
            break;
        case 5:
            target.isBusy = true;
            break;
        case 6:
            target.fails = true;
            break;
        case 7:
            callers.replaceCaller();
            break;
        case 8:
            scene.group().abandonPrimary();
            break;
        default:
            break;
        }
        if (n % 100 == 0) {
            for (const auto& it : names)
                scene.targets[TargetId(it)].isBusy = scene.targets[TargetId(it)].fails = false;
        }
        callers.step();
        if (callers.draw(2) == 0)
            scene.run(static_cast<double>(callers.draw(12)));
    }
    scene.run(5000);
    callers.check();
    CHECK(scene.targets.executed.size() > 300);
}
