/* Placeholder until the library has its first file. */
#include "move/fns.h"
