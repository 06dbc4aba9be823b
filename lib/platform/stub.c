/* Placeholder until the library has its first file. */
#include "platform/fns.h"
