#include "wire/Message.h"
#include "wire/RandomTexts.h"
#include "wire/Statement.h"

#include <catch2/catch.hpp>

using namespace parsleypaddle::wire;

namespace {

std::vector<std::string> split(std::string_view bytes, size_t step)
{
    LineSplitter splitter;
    std::vector<std::string> lines;
    for (size_t at = 0; at < bytes.size(); at += step) {
        splitter.add(bytes.substr(at, step));
        for (auto line = splitter.next(); line.ok() && line->has_value(); line = splitter.next())
            lines.push_back(**line);
    }
    REQUIRE(splitter.pending() == 0);
    return lines;
}

}

TEST_CASE("the second codec reads and writes the messages of the protocol's examples", "[wire]")
{
    const auto line = GENERATE(as<std::string> {}, "STARTUP lepu270 u3f1", "STARTUP huvo11a tenant i-7f3a91c2", "QUERY 5c0e7a21d94b36f8 AFTER 3.1207 READ 1a4",
        "DATAROW qhzkwmtrbelo", "COMPLETE 7.1f3.c.2b.90e1c4d2a7b3f655", "READY I 3.1209", "READY I -", "ERROR READONLY i-7f3a91c2", "QUERY - STATUS", "TERMINATE", "DATAROW", "DATAROW ");
    const auto message = parse(line);
    REQUIRE(message.ok());
    CHECK(write(*message).value() == line + "\r\n");
}

TEST_CASE("the second codec rejects what the protocol does not have", "[wire]")
{
    const auto line = GENERATE(as<std::string> {}, "", " ", "startup a b", "STARTUP a", "STARTUP  b", "QUERY x", "QUERY  READ 1", "QUERY x ", "TERMINATE now", "COMPLETE", "COMPLETE ",
        "READY I", "READY X -", "READY I 3", "READY I 3.x", "READY I - more", "ERROR BUSY", "READY\nI -", "ROW x");
    CHECK_FALSE(parse(line).ok());
}

TEST_CASE("the second codec writes no message that reads as two or is too long", "[wire]")
{
    CHECK_FALSE(write({ Kind::Query, { "x", "READ a\r\nQUERY y READ b" } }).ok());
    CHECK_FALSE(write({ Kind::Query, { "x y", "READ a" } }).ok());
    CHECK_FALSE(write({ Kind::DataRow, { std::string(maxMessageBytes, 'x') } }).ok());
    CHECK(write({ Kind::DataRow, { std::string(maxMessageBytes - 10, 'x') } }).ok());
}

TEST_CASE("the second codec ends lines at CR LF only, at every chunk size", "[wire]")
{
    const std::vector<std::string> lines { "a\nb", "\r", "c\r", "\n", "", "d\r\r", std::string("e\0f", 3) };
    std::string bytes;
    for (const auto& it : lines)
        bytes += it + "\r\n";
    for (size_t step = 1; step <= bytes.size(); ++step)
        CHECK(split(bytes, step) == lines);
}

TEST_CASE("the second codec stops at a message over 1 MiB", "[wire]")
{
    LineSplitter splitter;
    splitter.add(std::string(maxMessageBytes, 'x'));
    CHECK(splitter.next().ok());
    splitter.add("x");
    CHECK_FALSE(splitter.next().ok());
}

TEST_CASE("statements keep all bytes of their last field", "[wire]")
{
    const auto write = parseStatement("WRITE item a\nb c\r");
    REQUIRE(write.ok());
    CHECK(write->name == "item");
    CHECK(write->rest == "a\nb c\r");
    const auto read = parseStatement("AFTER 3.7 READ x y");
    REQUIRE(read.ok());
    CHECK(read->after == "3.7");
    CHECK(read->name == "x y");
    CHECK(read->text == "READ x y");
    CHECK_FALSE(parseStatement("AFTER 3.7 WRITE x y").ok());
    CHECK_FALSE(parseStatement("COMMIT now").ok());
    CHECK_FALSE(parseStatement("PREPARE s BOTH x").ok());
}

TEST_CASE("random texts never hold a CR LF, and words no blank", "[wire]")
{
    const auto seed = GENERATE(range(1U, 11U));
    CAPTURE(seed);
    RandomTexts texts(seed);
    for (int n = 0; n < 200; ++n) {
        CHECK(texts.text(40).find("\r\n") == std::string::npos);
        CHECK(texts.word(40).find(' ') == std::string::npos);
    }
}
