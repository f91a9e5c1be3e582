#include "statements/JsonWriter.h"

#include "statements/JsonText.h"

#include <catch2/catch.hpp>
#include <limits>
#include <rapidcheck.h>

using namespace parsleypaddle;

TEST_CASE("JsonWriter separates members and elements with commas", "[statements]")
{
    JsonWriter writer;
    writer.beginObject();
    writer.field("a", "x");
    writer.key("b");
    writer.beginArray();
    writer.null();
    writer.beginArray();
    writer.endArray();
    writer.boolean(true);
    writer.number(2.5);
    writer.endArray();
    writer.field("c", uint64_t { 7 });
    writer.field("d", std::numeric_limits<double>::infinity());
    writer.endObject();
    CHECK(writer.takeText() == R"({"a":"x","b":[null,[],true,2.5],"c":7,"d":0})");
}

TEST_CASE("a text written by JsonWriter is parsed back unchanged", "[statements]")
{
    const auto roundTrip = [](const std::string& text) {
        JsonWriter writer;
        writer.beginObject();
        writer.field("t", text);
        writer.endObject();
        const auto object = parseJsonObject(writer.takeText());
        return object.ok() ? (*object)["t"].asString() : "unreadable";
    };
    std::string all;
    for (int n = 0; n < 0x80; ++n)
        all += static_cast<char>(n);
    CHECK(roundTrip(all) == all);
    CHECK(roundTrip("caf\u00e9 \u20ac \U0001f3bf \"") == "caf\u00e9 \u20ac \U0001f3bf \"");
    CHECK(rc::check("ASCII texts", [&](const std::string& text) {
        std::string ascii = text;
        for (auto& it : ascii)
            it = static_cast<char>(it & 0x7f);
        RC_ASSERT(roundTrip(ascii) == ascii);
    }));
}
