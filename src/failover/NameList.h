#pragma once

#include "base/StrongTypes.h"

#include <string>
#include <vector>

namespace parsleypaddle {

/// The names in their order, separated by commas.
template <typename Tag>
std::string textOf(const std::vector<Name<Tag>>& names)
{
    std::string text;
    for (const auto& it : names)
        text += (text.empty() ? "" : ", ") + it.value();
    return text;
}

}
