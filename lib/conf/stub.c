/* Placeholder until the library has its first file. */
#include "conf/fns.h"
