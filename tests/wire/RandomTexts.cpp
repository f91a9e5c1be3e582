#include "wire/RandomTexts.h"

#include <algorithm>
#include <array>

namespace parsleypaddle::wire {

std::string withoutLineEnds(std::string text)
{
    for (size_t at = 0; (at = text.find("\r\n", at)) != std::string::npos;)
        text.erase(at + 1, 1);
    return text;
}

std::string RandomTexts::id()
{
    constexpr char digits[] = "0123456789abcdef";
    std::string id;
    for (int n = 0; n < 16; ++n)
        id += digits[below(16)];
    return id;
}

std::string RandomTexts::piece()
{
    switch (below(8)) {
    case 0:
        return "\n";
    case 1:
        return "\r";
    case 2: {
        static const std::array<std::string, 8> messages { "\nQUERY - RESET\n", "\nREADY I 3.7\n", "\nCOMPLETE 7.1f3.c\nREADY I 3.8\n", "\rTERMINATE\r",
            "\nDATAROW x\n", "\nERROR BUSY x\nREADY I -\n", "\rCOMPLETE -\rREADY T -\r", "\nSTARTUP orders x\n" };
        return below(2) == 0 ? messages[below(messages.size())] : "\nQUERY " + id() + " WRITE x y\n";
    }
    case 3:
        return std::string(1, static_cast<char>(below(256)));
    default:
        return std::string(1 + below(6), static_cast<char>('a' + below(26)));
    }
}

std::string RandomTexts::text(size_t length)
{
    std::string text;
    const size_t wanted = 1 + below(length);
    while (text.size() < wanted)
        text += piece();
    if (oneIn(6))
        text += '\r';
    return withoutLineEnds(std::move(text));
}

std::string RandomTexts::word(size_t length)
{
    std::string word = text(length);
    word.erase(std::remove(word.begin(), word.end(), ' '), word.end());
    word = withoutLineEnds(std::move(word));
    return word.empty() ? "w" : word;
}

std::string RandomTexts::longText(size_t length)
{
    std::string text;
    const std::string block = this->text(4000);
    while (text.size() + block.size() < length)
        text += block;
    return withoutLineEnds(text + this->text(20));
}

}
