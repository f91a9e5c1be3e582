#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypaddle::fuzz {

/// Makes inputs from those of a corpus. The same seed and corpus give the same inputs on every machine.
class Mutator {
public:
    /// Longest input in bytes.
    static constexpr size_t maximumBytes = size_t { 64 } * 1024;

    Mutator(uint64_t seed, std::vector<std::string> corpus);

    std::string next();

    /// Adds an input to the corpus.
    void keep(std::string input) { m_corpus.push_back(std::move(input)); }
    size_t corpusSize() const { return m_corpus.size(); }

private:
    using Mutation = void (Mutator::*)(std::string&);

    void flipBit(std::string&);
    void setByte(std::string&);
    void eraseRange(std::string&);
    void repeatRange(std::string&);
    void truncate(std::string&);
    void insertWord(std::string&);
    void insertLineEnd(std::string&);
    void replaceNumber(std::string&);
    void splice(std::string&);
    void insertFromCorpus(std::string&);

    /// A number below `limit`; 0 if that is 0.
    size_t below(size_t limit) { return limit == 0 ? 0 : static_cast<size_t>(m_random() % limit); }
    const std::string& anyInput() { return m_corpus[below(m_corpus.size())]; }

    std::mt19937_64 m_random;
    std::vector<std::string> m_corpus;
};

}
