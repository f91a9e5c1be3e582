#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// Writes one JSON text piece by piece, without a tree of values in between.
class JsonWriter {
public:
    void beginObject() { begin('{'); }
    void endObject() { end('}'); }
    void beginArray() { begin('['); }
    void endArray() { end(']'); }

    /// The name of the next value within an object; plain ASCII.
    void key(std::string_view name);

    void text(std::string_view);
    void number(uint64_t);
    /// Six significant digits; numbers that JSON cannot hold become 0.
    void number(double);
    void boolean(bool);
    void null();

    void field(std::string_view name, std::string_view value);
    void field(std::string_view name, uint64_t value);
    void field(std::string_view name, double value);

    std::string take() { return std::move(m_text); }

private:
    void begin(char bracket);
    void end(char bracket);
    void separate();

    std::string m_text;
    bool m_needsComma { false };
};

}
