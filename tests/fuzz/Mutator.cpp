#include "tests/fuzz/Mutator.h"

#include <algorithm>
#include <array>

namespace parsleypaddle::fuzz {

namespace {

    constexpr std::array<std::string_view, 44> words { " ", "\r\n", "QUERY ", "STARTUP ", "TERMINATE", "READY I -", "READY T 1.2", "READY E -", "DATAROW ", "COMPLETE -", "COMPLETE ",
        "ERROR BUSY x", "AFTER 1.2 ", "FOR organisation 5 ", "FOR - 0 ", "READ ", "WRITE ", "EXECUTE ", "PREPARE ", "BEGIN", "COMMIT", "ROLLBACK", "~parsleypaddle", "-", ".", "%", "{", "}",
        "[", "]", ":", ",", "\"", "\\", "\\u0000", "\\ud800", "null", "true", "false", "\xef\xbb\xbf", "\xff", "\t", "10.0.0.1:80", "{\"a\":" };
    constexpr std::array<std::string_view, 5> lineEnds { "\r\n", "\r", "\n", "\r\r\n", "\n\r" };
    constexpr std::array<std::string_view, 14> numbers { "0", "-1", "1", "255", "65535", "65536", "4294967296", "9223372036854775808", "18446744073709551615", "18446744073709551616", "1e308",
        "1e999", "-0.0", "0.1" };

    bool isDigit(char it) { return it >= '0' && it <= '9'; }

}

Mutator::Mutator(uint64_t seed, std::vector<std::string> corpus)
    : m_random(seed)
    , m_corpus(std::move(corpus))
{
}

std::string Mutator::next()
{
    static constexpr std::array<Mutation, 10> mutations { &Mutator::flipBit, &Mutator::setByte, &Mutator::eraseRange, &Mutator::repeatRange, &Mutator::truncate, &Mutator::insertWord,
        &Mutator::insertLineEnd, &Mutator::replaceNumber, &Mutator::splice, &Mutator::insertFromCorpus };
    constexpr size_t mostMutations = 4;
    std::string input = anyInput();
    for (size_t n = 1 + below(mostMutations); n > 0; --n)
        (this->*mutations[below(mutations.size())])(input);
    input.resize(std::min(input.size(), maximumBytes));
    return input;
}

void Mutator::flipBit(std::string& input)
{
    if (!input.empty())
        input[below(input.size())] ^= static_cast<char>(1U << below(8));
}

void Mutator::setByte(std::string& input)
{
    if (!input.empty())
        input[below(input.size())] = static_cast<char>(m_random());
}

void Mutator::eraseRange(std::string& input)
{
    constexpr size_t mostBytes = 16;
    const size_t at = below(input.size());
    input.erase(at, 1 + below(std::min(input.size() - at, mostBytes)));
}

void Mutator::repeatRange(std::string& input)
{
    constexpr size_t mostBytes = 64;
    constexpr size_t fewTimes = 3;
    constexpr size_t manyTimes = 200;
    constexpr size_t oneInMany = 8;
    const size_t at = below(input.size());
    const std::string range = input.substr(at, 1 + below(mostBytes));
    for (size_t n = 1 + below(below(oneInMany) == 0 ? manyTimes : fewTimes); n > 0 && input.size() < maximumBytes; --n)
        input.insert(at, range);
}

void Mutator::truncate(std::string& input)
{
    input.resize(below(input.size() + 1));
}

void Mutator::insertWord(std::string& input)
{
    const size_t at = below(input.size() + 1);
    input.insert(at, words[below(words.size())]);
}

void Mutator::insertLineEnd(std::string& input)
{
    const size_t at = below(input.size() + 1);
    input.insert(at, lineEnds[below(lineEnds.size())]);
}

void Mutator::replaceNumber(std::string& input)
{
    const auto first = std::find_if(input.begin() + static_cast<std::ptrdiff_t>(below(input.size())), input.end(), isDigit);
    const auto last = std::find_if_not(first, input.end(), isDigit);
    input.replace(first, last, numbers[below(numbers.size())]);
}

void Mutator::splice(std::string& input)
{
    const std::string& other = anyInput();
    input.resize(below(input.size() + 1));
    input += other.substr(below(other.size() + 1));
}

void Mutator::insertFromCorpus(std::string& input)
{
    constexpr size_t mostBytes = 64;
    const std::string& other = anyInput();
    const size_t at = below(input.size() + 1);
    const size_t from = below(other.size() + 1);
    input.insert(at, other.substr(from, 1 + below(mostBytes)));
}

}
