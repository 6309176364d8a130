# Variables shared by the Makefiles of all packages.
ROOT := $(dir $(abspath $(lastword $(MAKEFILE_LIST))))
PREFIX ?= /usr/local
CC ?= gcc

ifeq ($(SANITIZE),1)
BUILD ?= $(ROOT)build/sanitize
SANITIZERS = -fsanitize=address,undefined -fno-sanitize-recover=all
OPTIMIZE ?= -O1
else
BUILD ?= $(ROOT)build/plain
SANITIZERS =
OPTIMIZE ?= -O2
endif

INCLUDES = -I$(ROOT)lib -I$(ROOT)lib/request -I$(ROOT)lib/connection \
    -I$(ROOT)lib/version -I$(ROOT)lib/process -I$(ROOT)lib/process/load
CFLAGS_BASE = -std=gnu11 -D_GNU_SOURCE $(INCLUDES) $(EXTRA_INCLUDES)
CFLAGS_ALL = $(CFLAGS_BASE) -Wall -Wextra -Wshadow -Werror -g $(OPTIMIZE) \
    $(SANITIZERS) -MMD -MP $(CFLAGS)

# Libraries that libkcc needs, and those that only the programs need.
LIB_LIBS = -lmsgpackc -linih -ljansson -lxxhash -lm
PROGRAM_LIBS = -levhtp -lhttp_parser -levent -levent_openssl -lssl -lcrypto -llog4c

.DEFAULT_GOAL := all
