#include "platform/AnswerParser.h"
#include "platform/LineCodec.h"
#include "platform/MessageFraming.h"
#include "wire/Message.h"
#include "wire/RandomTexts.h"
#include "wire/Statement.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle;

namespace {

constexpr const char* states[] = { "I", "T", "E" };

/// What the adapter reads from bytes of which it receives `first` and then the rest.
std::vector<std::string> adapterLines(const std::string& bytes, size_t first)
{
    platform::MessageReader reader;
    std::vector<std::string> lines;
    std::string input;
    for (const auto& it : { bytes.substr(0, first), bytes.substr(first) }) {
        input += it;
        std::string_view rest = input;
        while (const auto message = reader.next(rest)) {
            REQUIRE_FALSE(message->isTooLong);
            lines.emplace_back(message->text);
        }
        input.erase(0, input.size() - rest.size());
    }
    CHECK(input.empty());
    return lines;
}

std::vector<std::string> splitLines(const std::string& bytes, size_t first)
{
    wire::LineSplitter splitter;
    std::vector<std::string> lines;
    for (const auto& it : { bytes.substr(0, first), bytes.substr(first) }) {
        splitter.add(it);
        for (auto line = splitter.next(); line.value().has_value(); line = splitter.next())
            lines.push_back(**line);
    }
    CHECK(splitter.pending() == 0);
    return lines;
}

std::string drawStatement(wire::RandomTexts& texts)
{
    switch (texts.below(6)) {
    case 0:
        return "READ " + texts.text(20);
    case 1:
        return "SET " + texts.word(8) + " " + texts.text(20);
    case 2:
        return "PREPARE " + texts.word(8) + (texts.oneIn(2) ? " READ " : " WRITE ") + texts.text(20);
    case 3:
        return "EXECUTE " + texts.word(8) + " " + texts.text(20);
    case 4:
        return "DEALLOCATE " + texts.word(8);
    default:
        return "WRITE " + texts.word(8) + " " + texts.text(40);
    }
}

RelayKind relayKindOf(wire::StatementKind kind)
{
    switch (kind) {
    case wire::StatementKind::Read:
        return RelayKind::Read;
    case wire::StatementKind::Write:
        return RelayKind::Write;
    case wire::StatementKind::Set:
        return RelayKind::SetValue;
    case wire::StatementKind::PrepareRead:
    case wire::StatementKind::PrepareWrite:
        return RelayKind::Prepare;
    case wire::StatementKind::Execute:
        return RelayKind::Execute;
    case wire::StatementKind::Deallocate:
        return RelayKind::Deallocate;
    default:
        return RelayKind::Unknown;
    }
}

/// An answer's messages, as a back end writes them.
std::vector<wire::Message> drawAnswer(wire::RandomTexts& texts)
{
    std::vector<wire::Message> messages;
    for (size_t n = texts.below(4); n > 0; --n)
        messages.push_back({ wire::Kind::DataRow, { texts.text(40) } });
    if (texts.oneIn(3))
        messages.push_back({ wire::Kind::Error, { "FAILED", texts.text(20) } });
    else
        messages.push_back({ wire::Kind::Complete, { texts.text(12) } });
    messages.push_back({ wire::Kind::Ready, { states[texts.below(3)], texts.oneIn(4) ? "-" : "3." + std::to_string(texts.below(5000)) } });
    return messages;
}

std::string bytesOf(const std::vector<wire::Message>& messages)
{
    std::string bytes;
    for (const auto& it : messages)
        bytes += wire::write(it).value();
    return bytes;
}

std::vector<wire::Message> parseAll(const std::string& bytes)
{
    std::vector<wire::Message> messages;
    for (const auto& it : splitLines(bytes, bytes.size())) {
        CAPTURE(it);
        const auto message = wire::parse(it);
        REQUIRE(message.ok());
        messages.push_back(*message);
    }
    return messages;
}

}

TEST_CASE("the adapter and the second codec find the same messages at every chunk boundary", "[wire]")
{
    const auto seed = GENERATE(range(1U, 41U));
    CAPTURE(seed);
    wire::RandomTexts texts(seed);
    std::vector<wire::Message> messages;
    for (int n = 0; n < 3; ++n) {
        const auto answer = drawAnswer(texts);
        messages.insert(messages.end(), answer.begin(), answer.end());
        messages.push_back({ wire::Kind::Query, { texts.id(), drawStatement(texts) } });
    }
    const std::string bytes = bytesOf(messages);
    std::vector<std::string> expected;
    for (const auto& it : messages) {
        const std::string line = wire::write(it).value();
        expected.push_back(line.substr(0, line.size() - 2));
    }
    for (size_t first = 0; first <= bytes.size(); ++first) {
        CAPTURE(first);
        REQUIRE(adapterLines(bytes, first) == expected);
        REQUIRE(splitLines(bytes, first) == expected);
    }
}

TEST_CASE("the adapter finds the same messages in any bytes as the second codec", "[wire]")
{
    const auto seed = GENERATE(range(1U, 201U));
    CAPTURE(seed);
    wire::RandomTexts texts(seed);
    std::string bytes;
    while (bytes.size() < 300)
        bytes += texts.oneIn(5) ? std::string("\r\n") : texts.text(10);
    bytes += "\n\r\n";
    const size_t first = texts.below(bytes.size());
    CHECK(adapterLines(bytes, first) == splitLines(bytes, first));
}

TEST_CASE("the adapter reads a caller's statement as the second codec does, and writes it unchanged for a target", "[wire]")
{
    const auto seed = GENERATE(range(1U, 401U));
    CAPTURE(seed);
    wire::RandomTexts texts(seed);
    const std::string id = texts.id();
    const std::string text = drawStatement(texts);
    const auto statement = wire::parseStatement(text).value();
    const std::string line = wire::write({ wire::Kind::Query, { id, text } }).value();
    const auto message = platform::decodeCallerMessage(std::string_view(line).substr(0, line.size() - 2));
    REQUIRE(message.kind == platform::CallerMessage::Kind::Statement);
    CHECK(message.step.id == StatementId(id));
    CHECK(message.step.kind == relayKindOf(statement.kind));
    CHECK(message.step.text == text);
    const auto written = platform::encodeStep(message.step);
    REQUIRE(written.ok());
    const auto messages = parseAll(*written);
    REQUIRE(messages.size() == 1);
    CHECK(messages[0] == wire::Message { wire::Kind::Query, { id, text } });
}

TEST_CASE("the adapter reads a target's answer as the second codec wrote it", "[wire]")
{
    const auto seed = GENERATE(range(1U, 401U));
    CAPTURE(seed);
    wire::RandomTexts texts(seed);
    const auto messages = drawAnswer(texts);
    const std::string bytes = bytesOf(messages);
    platform::AnswerParser parser;
    size_t added = 0;
    for (const auto& it : adapterLines(bytes, texts.below(bytes.size())))
        CHECK(parser.addLine(it) == (++added == messages.size()));
    REQUIRE_FALSE(parser.isMalformed());
    const auto answer = parser.extractAnswer();
    const auto& result = messages[messages.size() - 2];
    CHECK((answer.error == RelayError::None) == (result.kind == wire::Kind::Complete));
    if (result.kind == wire::Kind::Error) {
        CHECK(answer.errorText == result.fields[1]);
        return;
    }
    CHECK(answer.signature == result.fields[0]);
    REQUIRE(answer.rows.size() == messages.size() - 2);
    for (size_t n = 0; n < answer.rows.size(); ++n)
        CHECK(answer.rows[n] == messages[n].fields[0]);
    CHECK(states[static_cast<size_t>(answer.state)] == messages.back().fields[0]);
}

TEST_CASE("the second codec reads the adapter's answer to a caller as it was written", "[wire]")
{
    const auto seed = GENERATE(range(1U, 401U));
    CAPTURE(seed);
    wire::RandomTexts texts(seed);
    RelayAnswer answer;
    for (size_t n = texts.below(4); n > 0; --n)
        answer.rows.push_back(texts.text(40));
    answer.signature = texts.text(12);
    answer.state = TransactionState::Open;
    const auto messages = parseAll(platform::encodeAnswer(answer));
    REQUIRE(messages.size() == answer.rows.size() + 2);
    for (size_t n = 0; n < answer.rows.size(); ++n)
        CHECK(messages[n] == wire::Message { wire::Kind::DataRow, { answer.rows[n] } });
    CHECK(messages[answer.rows.size()] == wire::Message { wire::Kind::Complete, { answer.signature } });
    CHECK(messages.back() == wire::Message { wire::Kind::Ready, { "T", "-" } });
}

TEST_CASE("every error that the adapter writes is a message of the second codec", "[wire]")
{
    const auto error = static_cast<RelayError>(GENERATE(range(1, static_cast<int>(RelayError::TimedOut) + 1)));
    CAPTURE(static_cast<int>(error));
    RelayAnswer answer;
    answer.error = error;
    answer.errorText = GENERATE(as<std::string> {}, "", "why", "a\r\nREADY I -", "\n", "\r");
    const auto messages = parseAll(platform::encodeAnswer(answer));
    REQUIRE(messages.size() == 2);
    CHECK(messages[0].kind == wire::Kind::Error);
    CHECK(messages[1].kind == wire::Kind::Ready);
    CHECK(parseAll(platform::encodeError(error, answer.errorText)).size() == 1);
}

TEST_CASE("the adapter reads no answer from messages that the second codec rejects", "[wire]")
{
    const auto line = GENERATE(as<std::string> {}, "", "READY", "READY I", "READY X -", "READY I 3", "READY I 3.x", "READY I - more", "READY\nI -", "COMPLETE", "COMPLETE ", "ROW x", "complete 1");
    CAPTURE(line);
    CHECK_FALSE(wire::parse(line).ok());
    platform::AnswerParser parser;
    parser.addLine(line);
    CHECK(parser.isMalformed());
}
