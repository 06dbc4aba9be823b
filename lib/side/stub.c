/* Placeholder until the library has its first file. */
#include "side/fns.h"
