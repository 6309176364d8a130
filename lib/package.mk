# Rules of one library package: its objects and its archive.
include $(dir $(lastword $(MAKEFILE_LIST)))../config.mk

NAME := $(notdir $(CURDIR))
OUT := $(BUILD)/$(patsubst $(ROOT)%,%,$(CURDIR))
OBJECTS := $(patsubst %.c,$(OUT)/%.o,$(wildcard *.c))

all: $(OUT)/libkcc_$(NAME).a

$(OUT)/libkcc_$(NAME).a: $(OBJECTS)
	@rm -f $@
	$(AR) rcs $@ $(OBJECTS)

$(OUT)/%.o: %.c
	@mkdir -p $(OUT)
	$(CC) $(CFLAGS_ALL) -c $< -o $@

-include $(OBJECTS:.o=.d)
