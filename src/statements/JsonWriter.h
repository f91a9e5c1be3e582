#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// Writes a JSON text incrementally, without building a tree of values first.
class JsonWriter {
public:
    void beginObject() { begin('{'); }
    void endObject() { end('}'); }
    void beginArray() { begin('['); }
    void endArray() { end(']'); }

    /// Writes the name of the next value within an object. The name is not escaped, so it must be ASCII without quotes,
    /// backslashes and control characters.
    void key(std::string_view name);

    void text(std::string_view);
    void number(uint64_t);
    /// Writes six significant digits. Infinity and NaN, which JSON cannot represent, are written as 0.
    void number(double);
    void boolean(bool);
    void null();

    void field(std::string_view name, std::string_view value);
    void field(std::string_view name, uint64_t value);
    void field(std::string_view name, double value);

    /// Moves the text out of the writer.
    std::string takeText() { return std::move(m_text); }

private:
    void begin(char bracket);
    void end(char bracket);
    void writeSeparator();

    std::string m_text;
    bool m_needsComma { false };
};

}
